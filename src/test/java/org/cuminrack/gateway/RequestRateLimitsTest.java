package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.cuminrack.gateway.SimulatedGateways.UPSTREAM;
import static org.cuminrack.gateway.SimulatedGateways.upstream;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

class RequestRateLimitsTest {
  private static final Duration WINDOW = Duration.ofSeconds(4);
  private static final Duration SPREAD_TIME = Duration.ofSeconds(3);

  private final SimulatedGateways gateways = new SimulatedGateways();

  @Test
  void shouldAllowAllRequestsWithoutALimit() {
    gateways.start(1);

    assertThat(gateways.get(0).allows(UPSTREAM)).isTrue();
    assertThat(gateways.get(0).ownShares()).isEmpty();
  }

  @Test
  void shouldKeepALimitOverSevenGateways() {
    gateways.start(7);
    gateways.name(0, 2.4);

    gateways.play(Duration.ofSeconds(60), 27, 0);

    assertLimitHolds(2.4);
    assertUsed(2.4, 60);
  }

  @Test
  void shouldKeepALimitIfOneGatewayGetsNearlyAllRequests() {
    gateways.start(7);
    gateways.name(3, 2.4);

    gateways.play(Duration.ofSeconds(60), 27, 0.95);

    assertLimitHolds(2.4);
    assertUsed(2.4, 60);
  }

  @Test
  void shouldKeepALimitOverManyGateways() {
    gateways.start(77);
    gateways.name(0, 2.4);

    gateways.play(Duration.ofSeconds(60), 110, 0);

    assertLimitHolds(2.4);
    assertUsed(2.4, 60);
  }

  @Test
  void shouldKeepALimitBelowOneRequestASecond() {
    gateways.start(7);
    gateways.name(0, 0.3);

    gateways.play(Duration.ofMinutes(2), 27, 0);

    assertLimitHolds(0.3);
    assertUsed(0.3, 120);
  }

  @Test
  void shouldKeepALimitThatIsHardlyReached() {
    gateways.start(7);
    gateways.name(0, 20);

    gateways.play(Duration.ofSeconds(60), 27, 0);

    assertLimitHolds(20);
    assertUsed(20, 60);
  }

  @Test
  void shouldKeepALimitWhenHalfOfTheMessagesAreLost() {
    gateways.start(7);
    gateways.name(0, 2.4);
    gateways.lostMessages = 0.5;

    gateways.play(Duration.ofSeconds(60), 27, 0);

    assertLimitHolds(2.4);
  }

  @Test
  void shouldKeepALimitWhenGatewaysHearNothingOfEachOther() {
    gateways.start(7);
    gateways.play(Duration.ofSeconds(1), 0, 0);
    gateways.lostMessages = 1;
    for (int i = 0; i < 7; i++) {
      gateways.name(i, 2.4);
    }
    gateways.play(SPREAD_TIME, 27, 0);
    gateways.sentMillis.clear();

    gateways.play(Duration.ofSeconds(60), 27, 0);

    assertLimitHolds(2.4);
  }

  @Test
  void shouldKeepALimitWhileGatewaysRestart() {
    gateways.start(7);
    gateways.name(0, 2.4);
    for (int round = 0; round < 6; round++) {
      gateways.play(Duration.ofSeconds(8), 27, 0);
      gateways.restart(round);
    }

    assertLimitHolds(2.4);
  }

  @Test
  void shouldKeepALimitOverBurstsOfRequests() {
    gateways.start(7);
    gateways.name(0, 2.4);
    for (int round = 0; round < 10; round++) {
      gateways.play(Duration.ofSeconds(5), 0, 0);
      gateways.play(Duration.ofSeconds(1), 100, 0);
    }

    assertLimitHolds(2.4);
  }

  @Test
  void shouldFollowALimitThatChanges() {
    gateways.start(7);
    gateways.name(0, 20);
    gateways.play(Duration.ofSeconds(10), 27, 0);
    gateways.name(1, 2);
    gateways.play(SPREAD_TIME, 27, 0);
    gateways.sentMillis.clear();

    gateways.play(Duration.ofSeconds(30), 27, 0);

    assertLimitHolds(2);
  }

  @Test
  void shouldSendFreelyAtAllGatewaysOnceALimitHasEnded() {
    gateways.start(3);
    gateways.name(0, 2);
    gateways.play(Duration.ofSeconds(5), 27, 0);
    gateways.endLimit(1);
    gateways.play(Duration.ofMillis(200), 0, 0);

    for (int i = 0; i < 3; i++) {
      gateways.refresh(i);
      assertThat(gateways.get(i).isLimited(UPSTREAM)).isFalse();
    }
  }

  @Test
  void shouldSendNowAndThenToAnUpstreamThatTakesNothing() {
    gateways.start(3);
    gateways.name(0, 0);

    gateways.play(Duration.ofSeconds(60), 27, 0);

    assertThat(gateways.sentMillis.size()).isAtLeast(3);
    assertThat(gateways.sentMillis.size()).isAtMost(12);
  }

  @Test
  void shouldKeepTheLimitBeforeIfTheNewOneIsInvalid() {
    gateways.start(1);
    gateways.name(0, 2);

    gateways.get(0).recordAnswer(UPSTREAM, head(false, Either.left("Server-Limit: found 'x'")));

    assertThat(gateways.get(0).isLimited(UPSTREAM)).isTrue();
  }

  @Test
  void shouldLogAnInvalidLimitOnlyWhenItChanges() {
    List<String> lines = new ArrayList<>();
    Handler handler = new LineHandler(lines);
    Logger log = Logger.getLogger(RequestRateLimits.class.getName());
    log.addHandler(handler);
    gateways.start(1);

    for (String invalid : List.of("x", "x", "x", "y")) {
      gateways.get(0).recordAnswer(UPSTREAM, head(false, Either.left("found '" + invalid + "'")));
    }

    log.removeHandler(handler);
    assertThat(lines).hasSize(2);
  }

  @Test
  void shouldIgnoreWhatAnswersOfOtherUpstreamsSay() {
    gateways.start(1);
    Either<String, OptionalDouble> named = Either.right(OptionalDouble.of(2));

    gateways.get(0).recordAnswer(UPSTREAM, head(true, true, true, named));
    gateways.get(0).recordAnswer(UPSTREAM, head(false, false, false, named));

    assertThat(gateways.get(0).isLimited(UPSTREAM)).isFalse();
  }

  @Test
  void shouldNotTakeARefusalWithoutALimitForItsEnd() {
    gateways.start(1);
    gateways.name(0, 2);

    gateways.get(0).recordAnswer(UPSTREAM, head(true, Either.right(OptionalDouble.empty())));

    assertThat(gateways.get(0).isLimited(UPSTREAM)).isTrue();
  }

  @Test
  void shouldNotLimitAnUpstreamThatHasRestarted() {
    gateways.start(1);
    gateways.name(0, 2);

    assertThat(gateways.get(0).isLimited(upstream("i-1", 200))).isFalse();
  }

  @Test
  void shouldTellWhenUpstreamsThatAreAllLimitedTakeAnotherRequest() {
    gateways.start(1);
    gateways.name(0, 2);

    assertThat(gateways.get(0).retryAfter(List.of(UPSTREAM))).hasValue(Duration.ofMillis(500));
    assertThat(gateways.get(0).retryAfter(List.of(UPSTREAM, upstream("i-2", 1)))).isEmpty();
    assertThat(gateways.get(0).retryAfter(List.of())).isEmpty();
  }

  private void assertLimitHolds(double requestsPerSecond) {
    double allowed = 1.5 * requestsPerSecond * WINDOW.toSeconds() + 5;
    for (int first = 0; first < gateways.sentMillis.size(); first++) {
      long end = gateways.sentMillis.get(first) + WINDOW.toMillis();
      long count = gateways.sentMillis.stream().skip(first).takeWhile(each -> each <= end).count();
      assertWithMessage("requests in %s from %s ms", WINDOW, gateways.sentMillis.get(first))
          .that((double) count)
          .isAtMost(allowed);
    }
  }

  /** Asserts that the upstream got at least two thirds of what its limit allows. */
  private void assertUsed(double requestsPerSecond, int seconds) {
    assertThat((double) gateways.sentMillis.size()).isAtLeast(requestsPerSecond * seconds * 2 / 3);
  }

  /** Keeps the lines that are logged. */
  private static final class LineHandler extends Handler {
    private final List<String> lines;

    LineHandler(List<String> lines) {
      this.lines = lines;
    }

    @Override
    public void publish(LogRecord line) {
      lines.add(line.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }

  private static ResponseHead head(
      boolean notExecuted, Either<String, OptionalDouble> requestsPerSecond) {
    return head(true, notExecuted, false, requestsPerSecond);
  }

  private static ResponseHead head(
      boolean matchesRequest,
      boolean notExecuted,
      boolean misdirected,
      Either<String, OptionalDouble> requestsPerSecond) {
    return new ResponseHead(
        matchesRequest,
        notExecuted,
        misdirected,
        requestsPerSecond,
        false,
        Either.right(Optional.empty()),
        Either.right(Optional.empty()));
  }
}
