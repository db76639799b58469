package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.Test;

class UpstreamNoticesTest {
  private static final UpstreamRecord UPSTREAM = upstream("i-1", 100);

  private final ManualClock clock = new ManualClock();
  private final UpstreamNotices notices = new UpstreamNotices(clock);

  private static UpstreamRecord upstream(String id, long startedMillis) {
    return new UpstreamRecord(
        id, "shop", "10.0.0.1:80", "dc-a", 6, UpstreamPhase.READY, startedMillis, 1, 0, 0);
  }

  @Test
  void shouldKeepThatAnUpstreamLeavesUntilItsNextStart() {
    notices.recordAnswer(UPSTREAM, leaving(true, false));
    notices.recordAnswer(UPSTREAM, paused(Duration.ZERO));
    clock.advance(Duration.ofHours(2));

    assertThat(notices.isLeaving(UPSTREAM)).isTrue();
    assertThat(notices.isLeaving(upstream("i-1", 200))).isFalse();
  }

  @Test
  void shouldTellOtherGatewaysForAWhileThatAnUpstreamLeaves() {
    UpstreamNotices other = new UpstreamNotices(clock);
    notices.recordAnswer(UPSTREAM, leaving(true, false));

    other.addRemote("gateway-1", notices.ownLeaving());

    assertThat(other.isLeaving(UPSTREAM)).isTrue();
    assertThat(other.ownLeaving()).isEmpty();
    clock.advance(Duration.ofSeconds(11));
    assertThat(notices.ownLeaving()).isEmpty();
    assertThat(notices.isLeaving(UPSTREAM)).isTrue();
  }

  @Test
  void shouldIgnoreWhatAnswersOfOtherUpstreamsSay() {
    notices.recordAnswer(UPSTREAM, leaving(false, false));
    notices.recordAnswer(UPSTREAM, leaving(true, true));

    assertThat(notices.isLeaving(UPSTREAM)).isFalse();
  }

  @Test
  void shouldPauseForTheLongestTimeNamed() {
    notices.recordAnswer(UPSTREAM, paused(Duration.ofMillis(1500)));
    notices.recordAnswer(UPSTREAM, paused(Duration.ofMillis(200)));

    clock.advance(Duration.ofMillis(1499));
    assertThat(notices.isPaused(UPSTREAM)).isTrue();
    clock.advance(Duration.ofMillis(1));
    assertThat(notices.isPaused(UPSTREAM)).isFalse();
  }

  @Test
  void shouldPauseForAnHourAtMost() {
    notices.recordAnswer(UPSTREAM, paused(Duration.ofDays(300)));

    assertThat(notices.shortestPause(List.of(UPSTREAM))).hasValue(Duration.ofHours(1));
  }

  @Test
  void shouldEndAPauseWithTheNextStart() {
    notices.recordAnswer(UPSTREAM, paused(Duration.ofMinutes(10)));

    assertThat(notices.isPaused(UPSTREAM)).isTrue();
    assertThat(notices.isPaused(upstream("i-1", 200))).isFalse();
  }

  @Test
  void shouldReturnTheTimeUntilTheFirstPauseEnds() {
    UpstreamRecord second = upstream("i-2", 100);
    notices.recordAnswer(UPSTREAM, paused(Duration.ofSeconds(3)));
    notices.recordAnswer(second, paused(Duration.ofSeconds(2)));

    assertThat(notices.shortestPause(List.of(UPSTREAM, second))).hasValue(Duration.ofSeconds(2));
    assertThat(notices.shortestPause(List.of(upstream("i-3", 1)))).isEmpty();
  }

  @Test
  void shouldPermitOneResumedStreamInAPause() {
    assertThat(notices.permitsResume(UPSTREAM)).isTrue();
    notices.recordAnswer(UPSTREAM, paused(Duration.ofSeconds(3)));

    assertThat(notices.permitsResume(UPSTREAM)).isTrue();
    notices.recordResumed(UPSTREAM);
    assertThat(notices.permitsResume(UPSTREAM)).isFalse();
    notices.recordAnswer(UPSTREAM, paused(Duration.ofSeconds(5)));
    assertThat(notices.permitsResume(UPSTREAM)).isFalse();
  }

  @Test
  void shouldIgnoreAnInvalidTime() {
    notices.recordAnswer(UPSTREAM, head(true, false, false, Either.left("found 'soon'")));

    assertThat(notices.isPaused(UPSTREAM)).isFalse();
  }

  private static ResponseHead leaving(boolean matchesRequest, boolean misdirected) {
    return head(matchesRequest, misdirected, true, Either.right(Optional.empty()));
  }

  private static ResponseHead paused(Duration pause) {
    return head(true, false, false, Either.right(Optional.of(pause)));
  }

  private static ResponseHead head(
      boolean matchesRequest,
      boolean misdirected,
      boolean leaving,
      Either<String, Optional<Duration>> pause) {
    return new ResponseHead(
        matchesRequest,
        true,
        misdirected,
        Either.right(OptionalDouble.empty()),
        leaving,
        pause,
        Either.right(Optional.empty()));
  }
}
