package org.cuminrack.fairshare;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Loads that make some requests wait for others: bursts, sizes, priorities and lost engines. */
class ServiceQueueLoadTest {
  private static final Duration TARGET = Duration.ofMillis(1_500);
  private static final Duration LONG_TARGET = Duration.ofSeconds(4);
  private static final int LONG = 2;
  private static final int SHORT = 0;

  private final SharedEngines engines = new SharedEngines(4, 6, 26_000, organisation -> 1);

  @Test
  void shouldPlaceShortRequestsDuringABurstOfTheLongKindWhileEnginesLeave() {
    for (int i = 0; i < 1_000; i++) {
      sendAt(0.1, i, new Claimant("a", SHORT), 2_500, Duration.ofMillis(600), TARGET);
      boolean burst = i >= 200 && i < 600;
      sendAt(burst ? 0.25 : 0.08, i, new Claimant("b", LONG), 5_000, work(), LONG_TARGET);
      if (i == 300) {
        engines.removeEngines(1);
      }
      engines.step();
    }

    assertThat(served(request -> request.claimant.priority() == SHORT)).isAtLeast(0.95);
    assertThat(served(request -> request.claimant.priority() == LONG)).isAtLeast(0.3);
  }

  @Test
  void shouldNotStarveALessUrgentPriority() {
    for (int i = 0; i < 2_000; i++) {
      sendAt(1.2, i, new Claimant("a", SHORT), 2_500, Duration.ofMillis(600), TARGET);
      sendAt(0.1, i, new Claimant("b", LONG), 5_000, work(), LONG_TARGET);
      engines.step();
    }

    assertThat(served(request -> request.claimant.priority() == LONG))
        .isAtLeast(served(request -> true) / 4);
  }

  @Test
  void shouldServeLargeRequestsBesideAStreamOfSmallOnes() {
    for (int i = 0; i < 3_000; i++) {
      boolean large = i % 100 == 0;
      long units = large ? 11_000 : 2_000 + engines.random.nextInt(1_000);
      sendAt(1.0, i, new Claimant("a", LONG), units, Duration.ofMillis(700), TARGET);
      engines.step();
    }

    assertThat(served(request -> request.units > 10_000)).isAtLeast(served(any -> true) / 2);
  }

  @Test
  void shouldRefuseTrulyAndAtOnceUnderOverload() {
    for (int i = 0; i < 3_000; i++) {
      sendAt(1.5, i, new Claimant("org-" + i % 24, SHORT), 4_000, Duration.ofSeconds(1), TARGET);
      engines.step();
    }

    List<SharedEngines.Request> refused =
        engines.requests.stream().filter(request -> !request.isPlaced()).toList();
    long atOnce = refused.stream().filter(request -> request.entry.queuedFor().isZero()).count();
    assertThat((double) atOnce / refused.size()).isAtLeast(0.5);
    // 36 places for a second each are 36 requests a second of 150.
    assertThat(served(request -> true)).isAtLeast(0.9 * 36 / 150);
    assertThat(refused.stream().noneMatch(SharedEngines.Request::isPlaced)).isTrue();
  }

  @Test
  void shouldServeCallersThatReturnAsToldBeforeARetryStorm() {
    int returned = 0;
    for (int i = 0; i < 2_000; i++) {
      // A third repeat at once and often; one in ten comes back as told.
      sendAt(0.4, i, new Claimant("a", SHORT), 4_000, Duration.ofSeconds(1), TARGET);
      for (int copy = 0; copy < 3 && i % 5 == 0; copy++) {
        engines.send(copy, new Claimant("a", SHORT), 4_000, Duration.ofSeconds(1), TARGET);
      }
      if (i % 25 == 0) {
        engines.send(
            i / 25 % 4, new Claimant("a", SHORT), 4_000, Duration.ofSeconds(1), TARGET, true);
        returned++;
      }
      engines.step();
    }

    long served =
        engines.requests.stream()
            .filter(request -> request.entry.request().returning())
            .filter(SharedEngines.Request::isPlaced)
            .count();
    assertThat((double) served / returned).isAtLeast(0.9);
    assertThat(served(request -> !request.entry.request().returning())).isLessThan(0.5);
  }

  private Duration work() {
    return Duration.ofMillis(1_000 + engines.random.nextInt(3_000));
  }

  /** Sends requests at a rate for each step, to all gateways in turn. */
  private void sendAt(
      double perStep, int step, Claimant claimant, long units, Duration work, Duration target) {
    int due = (int) Math.floor((step + 1) * perStep) - (int) Math.floor(step * perStep);
    for (int i = 0; i < due; i++) {
      engines.send(engines.random.nextInt(4), claimant, units, work, target);
    }
  }

  private double served(Predicate<SharedEngines.Request> filter) {
    List<SharedEngines.Request> chosen = engines.requests.stream().filter(filter).toList();
    return (double) chosen.stream().filter(SharedEngines.Request::isPlaced).count() / chosen.size();
  }
}
