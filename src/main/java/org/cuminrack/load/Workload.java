package org.cuminrack.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Plans the arrivals of a profile: a Poisson process, the same for the same seed. */
public final class Workload {
  private static final double NANOS_PER_SECOND = 1e9;

  private final LoadProfile profile;
  private final long seed;

  private Workload(LoadProfile profile, long seed) {
    this.profile = profile;
    this.seed = seed;
  }

  /** Returns the plans of a profile that belong to a seed. */
  public static Workload of(LoadProfile profile, long seed) {
    return new Workload(profile, seed);
  }

  /** Plans arrivals at this mean rate, in order. */
  public List<PlannedRequest> plan(double perSecond, Duration length) {
    return plan(perSecond, length, Optional.empty());
  }

  /** Plans arrivals at this mean rate, in order, with more from one organisation for a time. */
  public List<PlannedRequest> plan(double perSecond, Duration length, Optional<Surge> surge) {
    List<PlannedRequest> requests = new ArrayList<>();
    SplittableRandom random = new SplittableRandom(seed);
    addArrivals(requests, perSecond, 0, length, null, random);
    surge.ifPresent(each -> addSurge(requests, perSecond, each));
    requests.sort(Comparator.comparingLong(PlannedRequest::atNanos));
    List<PlannedRequest> numbered = new ArrayList<>();
    for (PlannedRequest each : requests) {
      numbered.add(withNumber(each, numbered.size()));
    }
    return numbered;
  }

  private void addSurge(List<PlannedRequest> requests, double perSecond, Surge surge) {
    int all = profile.organisations().stream().mapToInt(OrganisationShare::share).sum();
    OrganisationShare sender = organisation(surge.organisation());
    double extra = perSecond * sender.share() / all * (surge.factor() - 1);
    SplittableRandom random = new SplittableRandom(Mixing.mix(seed + 1));
    addArrivals(requests, extra, surge.from().toNanos(), surge.length(), sender, random);
  }

  private void addArrivals(
      List<PlannedRequest> requests,
      double perSecond,
      long fromNanos,
      Duration length,
      OrganisationShare onlySender,
      SplittableRandom random) {
    double atNanos = fromNanos + gapNanos(perSecond, random);
    while (atNanos < fromNanos + length.toNanos()) {
      OrganisationShare sender = onlySender == null ? drawOrganisation(random) : onlySender;
      requests.add(draw(Math.round(atNanos), sender, random));
      atNanos += gapNanos(perSecond, random);
    }
  }

  private PlannedRequest draw(long atNanos, OrganisationShare sender, SplittableRandom random) {
    TrafficClass trafficClass = drawClass(random);
    int prefix = random.nextInt(trafficClass.prefixes());
    int outputTokens = trafficClass.outputs().draw(random.nextLong());
    return new PlannedRequest(0, atNanos, sender.name(), trafficClass, prefix, outputTokens);
  }

  private TrafficClass drawClass(SplittableRandom random) {
    int all = profile.classes().stream().mapToInt(TrafficClass::share).sum();
    int drawn = random.nextInt(all);
    for (TrafficClass each : profile.classes()) {
      drawn -= each.share();
      if (drawn < 0) {
        return each;
      }
    }
    throw new IllegalStateException("expected a draw below " + all);
  }

  private OrganisationShare drawOrganisation(SplittableRandom random) {
    int all = profile.organisations().stream().mapToInt(OrganisationShare::share).sum();
    int drawn = random.nextInt(all);
    for (OrganisationShare each : profile.organisations()) {
      drawn -= each.share();
      if (drawn < 0) {
        return each;
      }
    }
    throw new IllegalStateException("expected a draw below " + all);
  }

  private OrganisationShare organisation(String name) {
    return profile.organisations().stream()
        .filter(each -> each.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("the profile has no organisation " + name));
  }

  private static double gapNanos(double perSecond, SplittableRandom random) {
    return -Math.log(1 - random.nextDouble()) / perSecond * NANOS_PER_SECOND;
  }

  private static PlannedRequest withNumber(PlannedRequest request, int number) {
    return new PlannedRequest(
        number,
        request.atNanos(),
        request.organisation(),
        request.trafficClass(),
        request.prefix(),
        request.outputTokens());
  }
}
