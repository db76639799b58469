package org.cuminrack.pace;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PaceTableTest {
  private static final Work WORK = Work.plainRequest("shop", "orders");
  private static final UpstreamStart FAST = new UpstreamStart("fast", 1);
  private static final UpstreamStart SLOW = new UpstreamStart("slow", 1);

  private final ManualClock clock = new ManualClock();
  private final PaceTable table = new PaceTable(clock);

  @BeforeEach
  void learnTwoPaces() {
    for (int i = 0; i < 60; i++) {
      clock.advance(Duration.ofMillis(100));
      table.recordWork(FAST, WORK, 20);
      table.recordWork(SLOW, WORK, 60);
    }
  }

  @Test
  void shouldLearnHowMuchLongerWorkTakesOnOneUpstream() {
    double ratio = table.pace(SLOW).slowdown() / table.pace(FAST).slowdown();

    assertThat(ratio).isWithin(0.4).of(3);
    assertThat(table.usualMillis(WORK).getAsDouble()).isWithin(5).of(35);
  }

  @Test
  void shouldKnowNothingOfANewStart() {
    assertThat(table.pace(new UpstreamStart("slow", 2))).isEqualTo(Pace.USUAL);
  }

  @Test
  void shouldCountOldSamplesLess() {
    clock.advance(Duration.ofSeconds(90));

    assertThat(table.pace(SLOW).samples()).isLessThan(1.0);
    assertThat(table.pace(SLOW).slowdown()).isWithin(0.1).of(1);
  }

  @Test
  void shouldLearnFromOtherGateways() {
    PaceTable other = new PaceTable(clock);
    for (int i = 0; i < 10; i++) {
      clock.advance(Duration.ofSeconds(1));
      table.recordWork(SLOW, WORK, 60);
      other.mergeRemote(table.ownPaces());
    }

    assertThat(other.pace(SLOW).slowdown()).isWithin(0.25).of(1.7);
    assertThat(other.ownPaces()).isEmpty();
  }

  @Test
  void shouldCountAnObservationThatIsToldAgainOnce() {
    PaceTable other = new PaceTable(clock);
    List<UpstreamPace> told = table.ownPaces();
    for (int i = 0; i < 10; i++) {
      other.mergeRemote(told);
    }

    assertThat(other.pace(SLOW).samples()).isWithin(0.01).of(1);
  }

  @Test
  void shouldIgnoreObservationsThatCannotBeTrue() {
    PaceTable other = new PaceTable(clock);
    for (double absurd : new double[] {Double.NaN, -1, 0, 1e9, Double.POSITIVE_INFINITY}) {
      other.mergeRemote(List.of(new UpstreamPace("slow", 1, absurd, 5, Duration.ZERO)));
    }
    other.mergeRemote(List.of(new UpstreamPace("slow", 1, 2, 0, Duration.ZERO)));
    other.mergeRemote(List.of(new UpstreamPace("slow", 1, 2, 5, Duration.ofDays(1))));
    other.mergeRemote(List.of(new UpstreamPace("slow", 1, 2, 5, Duration.ofMillis(-1))));

    assertThat(other.pace(SLOW)).isEqualTo(Pace.USUAL);
  }

  @Test
  void shouldCountAStatedSlowdownOnlyWhileItIsFresh() {
    double learned = table.pace(FAST).slowdown();
    for (int i = 0; i < 20; i++) {
      clock.advance(Duration.ofMillis(10));
      state(FAST, 1);
    }
    state(FAST, 2.5);

    assertThat(table.pace(FAST).slowdown()).isGreaterThan(2 * learned);
    clock.advance(Duration.ofMillis(300));
    assertThat(table.pace(FAST).slowdown()).isWithin(0.05).of(learned);
  }

  @Test
  void shouldNotBelieveAnUpstreamThatAlwaysStatesToBeFast() {
    double learned = table.pace(SLOW).slowdown();
    for (int i = 0; i < 50; i++) {
      clock.advance(Duration.ofMillis(1));
      state(SLOW, 0.1);
    }

    assertThat(table.pace(SLOW).slowdown()).isWithin(0.05).of(learned);
  }

  @Test
  void shouldKnowWhichServicesStateTheirPace() {
    table.recordStated(FAST, "silent", new StatedLoad(1, 0, 6, OptionalDouble.empty()));
    state(FAST, 1);

    assertThat(table.isStatedBy("shop")).isTrue();
    assertThat(table.isStatedBy("silent")).isFalse();
    clock.advance(Duration.ofMinutes(11));
    assertThat(table.isStatedBy("shop")).isFalse();
  }

  private void state(UpstreamStart start, double slowdown) {
    table.recordStated(start, "shop", new StatedLoad(1, 0, 6, OptionalDouble.of(slowdown)));
  }
}
