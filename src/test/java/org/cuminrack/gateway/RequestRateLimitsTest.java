package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.Test;

class RequestRateLimitsTest {
  private static final Duration STEP = Duration.ofMillis(10);
  private static final Duration MESSAGE_INTERVAL = Duration.ofMillis(50);
  private static final Duration WINDOW = Duration.ofSeconds(4);
  private static final Duration SPREAD_TIME = Duration.ofSeconds(3);
  private static final UpstreamRecord UPSTREAM = upstream("i-1", 100);

  private final ManualClock clock = new ManualClock();
  private final Random random = new Random(24);
  private final List<RequestRateLimits> gateways = new ArrayList<>();
  private final List<Set<String>> known = new ArrayList<>();
  private final List<Long> sentMillis = new ArrayList<>();
  private final Deque<Runnable> underWay = new ArrayDeque<>();
  private OptionalDouble named = OptionalDouble.empty();
  private double lostMessages;

  @Test
  void shouldAllowAllRequestsWithoutALimit() {
    start(1);

    assertThat(gateways.get(0).allows(UPSTREAM)).isTrue();
    assertThat(gateways.get(0).ownShares()).isEmpty();
  }

  @Test
  void shouldKeepALimitOverSevenGateways() {
    start(7);
    name(0, 2.4);

    play(Duration.ofSeconds(60), 27, 0);

    assertLimitHolds(2.4);
    assertUsed(2.4, 60);
  }

  @Test
  void shouldKeepALimitIfOneGatewayGetsNearlyAllRequests() {
    start(7);
    name(3, 2.4);

    play(Duration.ofSeconds(60), 27, 0.95);

    assertLimitHolds(2.4);
    assertUsed(2.4, 60);
  }

  @Test
  void shouldKeepALimitOverManyGateways() {
    start(77);
    name(0, 2.4);

    play(Duration.ofSeconds(60), 110, 0);

    assertLimitHolds(2.4);
    assertUsed(2.4, 60);
  }

  @Test
  void shouldKeepALimitBelowOneRequestASecond() {
    start(7);
    name(0, 0.3);

    play(Duration.ofMinutes(2), 27, 0);

    assertLimitHolds(0.3);
    assertUsed(0.3, 120);
  }

  @Test
  void shouldKeepALimitThatIsHardlyReached() {
    start(7);
    name(0, 20);

    play(Duration.ofSeconds(60), 27, 0);

    assertLimitHolds(20);
    assertUsed(20, 60);
  }

  @Test
  void shouldKeepALimitWhenHalfOfTheMessagesAreLost() {
    start(7);
    name(0, 2.4);
    lostMessages = 0.5;

    play(Duration.ofSeconds(60), 27, 0);

    assertLimitHolds(2.4);
  }

  @Test
  void shouldKeepALimitWhenGatewaysHearNothingOfEachOther() {
    start(7);
    play(Duration.ofSeconds(1), 0, 0);
    lostMessages = 1;
    for (int i = 0; i < 7; i++) {
      name(i, 2.4);
    }
    play(SPREAD_TIME, 27, 0);
    sentMillis.clear();

    play(Duration.ofSeconds(60), 27, 0);

    assertLimitHolds(2.4);
  }

  @Test
  void shouldKeepALimitWhileGatewaysRestart() {
    start(7);
    name(0, 2.4);
    for (int round = 0; round < 6; round++) {
      play(Duration.ofSeconds(8), 27, 0);
      gateways.set(round, gateway(round));
    }

    assertLimitHolds(2.4);
  }

  @Test
  void shouldKeepALimitOverBurstsOfRequests() {
    start(7);
    name(0, 2.4);
    for (int round = 0; round < 10; round++) {
      play(Duration.ofSeconds(5), 0, 0);
      play(Duration.ofSeconds(1), 100, 0);
    }

    assertLimitHolds(2.4);
  }

  @Test
  void shouldFollowALimitThatChanges() {
    start(7);
    name(0, 20);
    play(Duration.ofSeconds(10), 27, 0);
    name(1, 2);
    play(SPREAD_TIME, 27, 0);
    sentMillis.clear();

    play(Duration.ofSeconds(30), 27, 0);

    assertLimitHolds(2);
  }

  @Test
  void shouldSendFreelyAtAllGatewaysOnceALimitHasEnded() {
    start(3);
    name(0, 2);
    play(Duration.ofSeconds(5), 27, 0);
    named = OptionalDouble.empty();
    answer(gateways.get(1));
    play(Duration.ofMillis(200), 0, 0);

    for (RequestRateLimits gateway : gateways) {
      assertThat(gateway.isLimited(UPSTREAM)).isFalse();
    }
  }

  @Test
  void shouldSendNowAndThenToAnUpstreamThatTakesNothing() {
    start(3);
    name(0, 0);

    play(Duration.ofSeconds(60), 27, 0);

    assertThat(sentMillis.size()).isAtLeast(3);
    assertThat(sentMillis.size()).isAtMost(12);
  }

  @Test
  void shouldKeepTheLimitBeforeIfTheNewOneIsInvalid() {
    start(1);
    name(0, 2);

    gateways.get(0).recordAnswer(UPSTREAM, head(false, Either.left("Server-Limit: found 'x'")));

    assertThat(gateways.get(0).isLimited(UPSTREAM)).isTrue();
  }

  @Test
  void shouldIgnoreWhatAnswersOfOtherUpstreamsSay() {
    start(1);
    Either<String, OptionalDouble> named = Either.right(OptionalDouble.of(2));

    gateways.get(0).recordAnswer(UPSTREAM, new ResponseHead(true, true, true, named));
    gateways.get(0).recordAnswer(UPSTREAM, new ResponseHead(false, false, false, named));

    assertThat(gateways.get(0).isLimited(UPSTREAM)).isFalse();
  }

  @Test
  void shouldNotTakeARefusalWithoutALimitForItsEnd() {
    start(1);
    name(0, 2);

    gateways.get(0).recordAnswer(UPSTREAM, head(true, Either.right(OptionalDouble.empty())));

    assertThat(gateways.get(0).isLimited(UPSTREAM)).isTrue();
  }

  @Test
  void shouldNotLimitAnUpstreamThatHasRestarted() {
    start(1);
    name(0, 2);

    assertThat(gateways.get(0).isLimited(upstream("i-1", 200))).isFalse();
  }

  @Test
  void shouldTellWhenUpstreamsThatAreAllLimitedTakeAnotherRequest() {
    start(1);
    name(0, 2);

    assertThat(gateways.get(0).retryAfter(List.of(UPSTREAM))).hasValue(Duration.ofMillis(500));
    assertThat(gateways.get(0).retryAfter(List.of(UPSTREAM, upstream("i-2", 1)))).isEmpty();
    assertThat(gateways.get(0).retryAfter(List.of())).isEmpty();
  }

  private void start(int count) {
    for (int i = 0; i < count; i++) {
      known.add(new HashSet<>());
    }
    for (int i = 0; i < count; i++) {
      for (int j = 0; j < count; j++) {
        if (i != j) {
          known.get(i).add("gateway-" + j);
        }
      }
      gateways.add(gateway(i));
    }
  }

  private RequestRateLimits gateway(int index) {
    return new RequestRateLimits(() -> known.get(index), clock, random);
  }

  /** Lets the upstream name a limit from now on, in an answer to one gateway first. */
  private void name(int gateway, double requestsPerSecond) {
    named = OptionalDouble.of(requestsPerSecond);
    answer(gateways.get(gateway));
  }

  private void answer(RequestRateLimits gateway) {
    gateway.recordAnswer(UPSTREAM, head(false, Either.right(named)));
  }

  /**
   * Lets requests arrive at random at all gateways; messages and answers arrive a little later.
   *
   * @param shareOfFirst the part of the requests that the first gateway gets beside its equal share
   */
  private void play(Duration time, double requestsPerSecond, double shareOfFirst) {
    for (long step = 0; step < time.dividedBy(STEP); step++) {
      clock.advance(STEP);
      while (!underWay.isEmpty()) {
        underWay.removeFirst().run();
      }
      if (step % MESSAGE_INTERVAL.dividedBy(STEP) == 0) {
        exchangeMessages();
      }
      double expected = requestsPerSecond * STEP.toMillis() / 1_000;
      int arrivals = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
      for (int i = 0; i < arrivals; i++) {
        int at = random.nextDouble() < shareOfFirst ? 0 : random.nextInt(gateways.size());
        RequestRateLimits gateway = gateways.get(at);
        if (gateway.allows(UPSTREAM)) {
          gateway.recordSent(UPSTREAM);
          underWay.add(() -> answer(gateway));
          sentMillis.add(clock.nanoTime() / 1_000_000);
        }
      }
    }
  }

  private void exchangeMessages() {
    for (int from = 0; from < gateways.size(); from++) {
      List<RateLimitShare> shares = gateways.get(from).ownShares();
      for (int to = 0; to < gateways.size(); to++) {
        if (from != to && random.nextDouble() >= lostMessages) {
          RequestRateLimits receiver = gateways.get(to);
          String sender = "gateway-" + from;
          underWay.add(() -> receiver.replaceRemote(sender, shares));
        }
      }
    }
  }

  private void assertLimitHolds(double requestsPerSecond) {
    double allowed = 1.5 * requestsPerSecond * WINDOW.toSeconds() + 5;
    for (int first = 0; first < sentMillis.size(); first++) {
      long end = sentMillis.get(first) + WINDOW.toMillis();
      long count = sentMillis.stream().skip(first).takeWhile(each -> each <= end).count();
      assertWithMessage("requests in %s from %s ms", WINDOW, sentMillis.get(first))
          .that((double) count)
          .isAtMost(allowed);
    }
  }

  /** Asserts that the upstream got at least two thirds of what its limit allows. */
  private void assertUsed(double requestsPerSecond, int seconds) {
    assertThat((double) sentMillis.size()).isAtLeast(requestsPerSecond * seconds * 2 / 3);
  }

  private static ResponseHead head(
      boolean notExecuted, Either<String, OptionalDouble> requestsPerSecond) {
    return new ResponseHead(true, notExecuted, false, requestsPerSecond);
  }

  private static UpstreamRecord upstream(String id, long startedMillis) {
    return new UpstreamRecord(
        id, "shop", "10.0.0.1:80", "dc-a", 6, UpstreamPhase.READY, startedMillis, 1, 0, 0);
  }
}
