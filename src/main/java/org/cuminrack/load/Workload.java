package org.cuminrack.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Plans the requests of a profile as a Poisson process; the same seed gives the same plan. */
public final class Workload {
  private static final double NANOS_PER_SECOND = 1e9;

  private final LoadProfile profile;
  private final long seed;

  private Workload(LoadProfile profile, long seed) {
    this.profile = profile;
    this.seed = seed;
  }

  /** Returns the workload of a profile with a seed. */
  public static Workload of(LoadProfile profile, long seed) {
    return new Workload(profile, seed);
  }

  /** Plans arrivals at a mean rate, in order of arrival. */
  public List<PlannedRequest> plan(double arrivalsPerSecond, Duration duration) {
    return plan(arrivalsPerSecond, duration, Optional.empty());
  }

  /**
   * Plans arrivals at a mean rate, in order of arrival, with an optional surge from one
   * organisation.
   */
  public List<PlannedRequest> plan(
      double arrivalsPerSecond, Duration duration, Optional<Surge> surge) {
    List<PlannedRequest> requests = new ArrayList<>();
    SplittableRandom random = new SplittableRandom(seed);
    addArrivals(requests, arrivalsPerSecond, 0, duration, null, random);
    surge.ifPresent(each -> addSurge(requests, arrivalsPerSecond, each));
    requests.sort(Comparator.comparingLong(PlannedRequest::arrivalNanos));
    List<PlannedRequest> numbered = new ArrayList<>();
    for (PlannedRequest each : requests) {
      numbered.add(withNumber(each, numbered.size()));
    }
    return numbered;
  }

  private void addSurge(List<PlannedRequest> requests, double arrivalsPerSecond, Surge surge) {
    int totalShare = profile.organisations().stream().mapToInt(OrganisationShare::share).sum();
    OrganisationShare sender = organisation(surge.organisation());
    double extraPerSecond = arrivalsPerSecond * sender.share() / totalShare * (surge.factor() - 1);
    SplittableRandom random = new SplittableRandom(Mixing.mix(seed + 1));
    addArrivals(
        requests, extraPerSecond, surge.start().toNanos(), surge.duration(), sender, random);
  }

  private void addArrivals(
      List<PlannedRequest> requests,
      double arrivalsPerSecond,
      long startNanos,
      Duration duration,
      OrganisationShare onlySender,
      SplittableRandom random) {
    double arrivalNanos = startNanos + interarrivalNanos(arrivalsPerSecond, random);
    while (arrivalNanos < startNanos + duration.toNanos()) {
      OrganisationShare sender = onlySender == null ? drawOrganisation(random) : onlySender;
      requests.add(drawRequest(Math.round(arrivalNanos), sender, random));
      arrivalNanos += interarrivalNanos(arrivalsPerSecond, random);
    }
  }

  private PlannedRequest drawRequest(
      long arrivalNanos, OrganisationShare sender, SplittableRandom random) {
    TrafficClass trafficClass = drawClass(random);
    int prefixIndex = random.nextInt(trafficClass.prefixes());
    int outputTokens = trafficClass.outputLengths().draw(random.nextLong());
    return new PlannedRequest(
        0, arrivalNanos, sender.name(), trafficClass, prefixIndex, outputTokens);
  }

  private TrafficClass drawClass(SplittableRandom random) {
    int totalShare = profile.classes().stream().mapToInt(TrafficClass::share).sum();
    int drawn = random.nextInt(totalShare);
    for (TrafficClass each : profile.classes()) {
      drawn -= each.share();
      if (drawn < 0) {
        return each;
      }
    }
    throw new IllegalStateException("expected a random number below " + totalShare);
  }

  private OrganisationShare drawOrganisation(SplittableRandom random) {
    int totalShare = profile.organisations().stream().mapToInt(OrganisationShare::share).sum();
    int drawn = random.nextInt(totalShare);
    for (OrganisationShare each : profile.organisations()) {
      drawn -= each.share();
      if (drawn < 0) {
        return each;
      }
    }
    throw new IllegalStateException("expected a random number below " + totalShare);
  }

  private OrganisationShare organisation(String name) {
    return profile.organisations().stream()
        .filter(each -> each.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("the profile has no organisation " + name));
  }

  private static double interarrivalNanos(double arrivalsPerSecond, SplittableRandom random) {
    return -Math.log(1 - random.nextDouble()) / arrivalsPerSecond * NANOS_PER_SECOND;
  }

  private static PlannedRequest withNumber(PlannedRequest request, int number) {
    return new PlannedRequest(
        number,
        request.arrivalNanos(),
        request.organisation(),
        request.trafficClass(),
        request.prefixIndex(),
        request.outputTokens());
  }
}
