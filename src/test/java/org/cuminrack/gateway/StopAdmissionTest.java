package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.cuminrack.routing.EngineSpec;
import org.cuminrack.routing.HttpRoute;
import org.cuminrack.routing.RequestKind;
import org.cuminrack.routing.WeightedService;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.Test;

class StopAdmissionTest {
  private static final HttpRoute PLAIN_REQUEST =
      route(RequestKind.AT_MOST_ONCE, Duration.ofSeconds(1), Duration.ofMillis(200));
  private static final HttpRoute GENERATION =
      route(RequestKind.EVENT_STREAM, Duration.ofSeconds(39), Duration.ofMillis(1500));

  private static final HttpRoute GENERATION_OF_UNKNOWN_PACE =
      route(
          RequestKind.EVENT_STREAM,
          Duration.ofSeconds(39),
          Duration.ofMillis(1500),
          Optional.empty());
  private static final Optional<EngineSpec> ENGINE =
      Optional.of(new EngineSpec(24, 34_000, 4, true, true));

  private final ManualClock clock = new ManualClock();
  private final StopAdmission admission = new StopAdmission(clock);

  @Test
  void shouldAdmitEverythingBeforeTheStop() {
    assertThat(admits(GENERATION, demand(2_000))).isTrue();
  }

  @Test
  void shouldRefuseLongGenerationsDuringTheStop() {
    admission.begin(Duration.ofMillis(7500));

    assertThat(admits(GENERATION, demand(2_000))).isFalse();
    assertThat(admits(GENERATION, Optional.empty())).isFalse();
  }

  @Test
  void shouldAdmitAShortGenerationWhileItCanEndInTime() {
    admission.begin(Duration.ofMillis(7500));

    assertThat(admits(GENERATION, demand(30))).isTrue();
    clock.advance(Duration.ofMillis(4600));
    assertThat(admits(GENERATION, demand(30))).isFalse();
  }

  /**
   * Guards against generations that are aborted because only the time to their first event was
   * taken into account: 24 events 180 ms apart follow 1,500 ms.
   */
  @Test
  void shouldRefuseAGenerationWhoseEventsLastLongerThanTheGateway() {
    admission.begin(Duration.ofMillis(7500));

    assertThat(admits(GENERATION, demand(96))).isTrue();
    clock.advance(Duration.ofMillis(1800));
    assertThat(admits(GENERATION, demand(96))).isFalse();
  }

  @Test
  void shouldRefuseAGenerationOfUnknownPace() {
    admission.begin(Duration.ofMillis(7500));

    assertThat(admits(GENERATION_OF_UNKNOWN_PACE, demand(30))).isFalse();
  }

  @Test
  void shouldAdmitAGenerationWhoseDeadlineEndsBeforeTheGatewayStops() {
    admission.begin(Duration.ofMillis(7500));

    assertThat(admission.admits(GENERATION, Duration.ofSeconds(7), demand(2_000), ENGINE)).isTrue();
    clock.advance(Duration.ofMillis(600));
    assertThat(admission.admits(GENERATION, Duration.ofSeconds(7), demand(2_000), ENGINE))
        .isFalse();
  }

  @Test
  void shouldAdmitAPlainRequestIfItsTimeoutEndsBeforeTheGatewayStops() {
    admission.begin(Duration.ofMillis(7500));
    clock.advance(Duration.ofMillis(6400));
    assertThat(admits(PLAIN_REQUEST, Optional.empty())).isTrue();

    clock.advance(Duration.ofMillis(200));
    assertThat(admits(PLAIN_REQUEST, Optional.empty())).isFalse();
  }

  private boolean admits(HttpRoute route, Optional<GenerationDemand> demand) {
    return admission.admits(route, route.timeout(), demand, ENGINE);
  }

  private static Optional<GenerationDemand> demand(int maxOutputTokens) {
    return Optional.of(new GenerationDemand(2_000, maxOutputTokens, OptionalInt.empty()));
  }

  private static HttpRoute route(RequestKind kind, Duration timeout, Duration target) {
    return route(kind, timeout, target, Optional.of(Duration.ofMillis(180)));
  }

  private static HttpRoute route(
      RequestKind kind, Duration timeout, Duration target, Optional<Duration> targetEventGap) {
    return new HttpRoute(
        "route",
        "shop.example",
        "/",
        kind,
        timeout,
        target,
        targetEventGap,
        0,
        List.of(new WeightedService("shop", 1)),
        1,
        false);
  }
}
