package org.cuminrack.fairshare;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Load: 24 organisations ask six gateways for more memory than the engines have. */
class CompetingOrganisationsTest {
  private static final int GATEWAYS = 6;
  private static final int ORGANISATIONS = 24;
  private static final Duration TARGET = Duration.ofMillis(1_500);
  private static final Duration WORK = Duration.ofSeconds(1);
  private static final String LARGE = "org-0";

  private int firstCounted;
  private SharedEngines engines = new SharedEngines(GATEWAYS, 8, 26_000, organisation -> 1);

  @Test
  void shouldGiveALargeOrganisationWhatTheOthersLeave() {
    play(4_000, 0.65, GATEWAYS, 0.33);

    double ofLarge = servedShare(request -> isLarge(request));
    double ofOthers = servedShare(request -> !isLarge(request));
    assertThat(ofOthers).isAtLeast(0.85);
    assertThat(ofLarge).isAtLeast(servedShare(request -> true) / 4);
    assertThat(ofLarge).isLessThan(ofOthers);
  }

  @Test
  void shouldServeEachOrganisationAtLeastAQuarterAsOftenAsAll() {
    play(4_000, 1.0, GATEWAYS, 0.33);

    double ofAll = servedShare(request -> true);
    for (int i = 0; i < ORGANISATIONS; i++) {
      String organisation = "org-" + i;
      double served = servedShare(request -> request.claimant.organisation().equals(organisation));
      assertWithMessage(organisation).that(served).isAtLeast(ofAll / 4);
    }
  }

  @Test
  void shouldNotLetMoreGatewaysBringAnOrganisationMore() {
    for (int i = 0; i < 6_000; i++) {
      if (i % 2 == 0) {
        engines.send(i / 2 % GATEWAYS, new Claimant("everywhere", 0), 4_000, WORK, TARGET);
        engines.send(0, new Claimant("at one gateway", 0), 4_000, WORK, TARGET);
      }
      engines.step();
    }

    double everywhere =
        servedShare(request -> request.claimant.organisation().equals("everywhere"));
    double atOne = servedShare(request -> !request.claimant.organisation().equals("everywhere"));
    assertThat(atOne / everywhere).isWithin(0.2).of(1);
  }

  @Test
  void shouldDivideByWeight() {
    engines =
        new SharedEngines(2, 8, 26_000, organisation -> organisation.equals("double") ? 2 : 1);
    for (int i = 0; i < 4_000; i++) {
      if (i % 2 == 0) {
        engines.send(0, new Claimant("double", 0), 4_000, WORK, TARGET);
        engines.send(1, new Claimant("single", 0), 4_000, WORK, TARGET);
      }
      engines.step();
    }

    double ratio =
        servedShare(request -> request.claimant.organisation().equals("double"))
            / servedShare(request -> request.claimant.organisation().equals("single"));
    assertThat(ratio).isWithin(0.4).of(2);
  }

  @Test
  void shouldLeaveNoRoomUnusedIfNewsFromOtherGatewaysStops() {
    play(1_000, 0.5, GATEWAYS, 0.33);
    engines.newsArrives = false;
    firstCounted = engines.requests.size();

    play(2_000, 0.5, GATEWAYS, 0.33);

    // 48 places of 4,000 tokens for a second each, against 50 requests a second and more.
    assertThat(servedShare(request -> true)).isAtLeast(0.7);
    assertThat(servedShare(request -> !isLarge(request))).isAtLeast(0.7);
  }

  @Test
  void shouldPlaceAtOnceWhileThereIsRoom() {
    play(500, 0.2, GATEWAYS, 0.33);

    assertThat(engines.requests.stream().filter(SharedEngines.Request::isPlaced).count())
        .isEqualTo(engines.requests.size());
    assertThat(
            engines.requests.stream()
                .mapToLong(SharedEngines.Request::waitMillis)
                .max()
                .getAsLong())
        .isEqualTo(0);
  }

  /** Sends requests at a rate for each step, a part of them of the large organisation. */
  private void play(int steps, double requestsPerStep, int gateways, double partOfLarge) {
    double due = 0;
    for (int i = 0; i < steps; i++) {
      due += requestsPerStep;
      while (due >= 1) {
        due--;
        boolean large = engines.random.nextDouble() < partOfLarge;
        String name = large ? LARGE : "org-" + (1 + engines.random.nextInt(ORGANISATIONS - 1));
        engines.send(engines.random.nextInt(gateways), new Claimant(name, 0), 4_000, WORK, TARGET);
      }
      engines.step();
    }
  }

  private static boolean isLarge(SharedEngines.Request request) {
    return request.claimant.organisation().equals(LARGE);
  }

  private double servedShare(Predicate<SharedEngines.Request> filter) {
    List<SharedEngines.Request> chosen =
        engines.requests.stream().skip(firstCounted).filter(filter).toList();
    long placed = chosen.stream().filter(SharedEngines.Request::isPlaced).count();
    return (double) placed / chosen.size();
  }
}
