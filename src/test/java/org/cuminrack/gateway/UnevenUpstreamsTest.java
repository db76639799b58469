package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class UnevenUpstreamsTest {
  private static final Duration LEARNING = Duration.ofSeconds(10);
  private static final Duration TIME = Duration.ofSeconds(30);

  /** About a third of what the upstreams can do. */
  private static final double REQUESTS_PER_SECOND = 300;

  @Test
  void shouldAnswerInTimeOnUpstreamsOfThreeSpeeds() {
    PlayedUpstreams load = uneven();

    assertThat(load.lateShare()).isLessThan(0.01);
    assertThat(load.meanMillis()).isLessThan(25.0);
    assertThat(shareOf(load, "i-2")).isGreaterThan(0.02);
    assertThat(shareOf(load, "i-2")).isLessThan(0.2);
  }

  @Test
  void shouldSpreadRequestsOverEquallyFastUpstreams() {
    PlayedUpstreams load = new PlayedUpstreams(1, 1, 1);
    load.play(LEARNING, 89);
    load.play(TIME, 89);

    for (String id : new String[] {"i-0", "i-1", "i-2"}) {
      assertThat(shareOf(load, id)).isWithin(0.05).of(1.0 / 3);
    }
    assertThat(load.lateShare()).isEqualTo(0.0);
  }

  @Test
  void shouldNoticeThatASlowUpstreamIsFastAgain() {
    PlayedUpstreams load = uneven();

    load.setSpeed(2, 0.7);
    load.play(TIME, REQUESTS_PER_SECOND);
    load.play(TIME, REQUESTS_PER_SECOND);

    assertThat(shareOf(load, "i-2")).isGreaterThan(0.25);
  }

  @Test
  void shouldKeepWhatWasLearnedIfUpstreamsStateNothingMore() {
    PlayedUpstreams load = uneven();

    load.stated = OptionalDouble.of(Double.NaN);
    load.play(TIME, REQUESTS_PER_SECOND);

    assertThat(load.lateShare()).isLessThan(0.01);
  }

  @Test
  void shouldNotFollowFiguresThatLie() {
    PlayedUpstreams load = uneven();

    load.stated = OptionalDouble.of(10);
    load.play(TIME, REQUESTS_PER_SECOND);

    assertThat(load.lateShare()).isLessThan(0.01);
    assertThat(shareOf(load, "i-2")).isLessThan(0.2);
  }

  @Test
  void shouldCrossOnlyWhileTheOwnDataCentreIsEvacuated() {
    PlayedUpstreams load = new PlayedUpstreams(1, 1, 1);
    load.play(LEARNING, 89);
    double farBefore = load.share(PlayedUpstreams.Request::isFar);

    load.evacuated = "dc-0";
    load.play(TIME, 89);
    double farDuring = load.share(PlayedUpstreams.Request::isFar);
    assertThat(shareOf(load, "i-0")).isEqualTo(0.0);
    assertThat(load.lateShare()).isLessThan(0.01);

    load.evacuated = "none";
    load.play(TIME, 89);

    assertThat(farBefore).isLessThan(0.5);
    assertThat(farDuring).isGreaterThan(farBefore);
    assertThat(load.share(PlayedUpstreams.Request::isFar)).isLessThan(0.5);
    assertThat(shareOf(load, "i-0")).isWithin(0.05).of(1.0 / 3);
  }

  private static PlayedUpstreams uneven() {
    PlayedUpstreams load = new PlayedUpstreams(0.7, 0.7, 1.7);
    load.play(LEARNING, REQUESTS_PER_SECOND);
    load.play(TIME, REQUESTS_PER_SECOND);
    return load;
  }

  private static double shareOf(PlayedUpstreams load, String upstreamId) {
    return load.share(request -> request.upstreamId().equals(upstreamId));
  }
}
