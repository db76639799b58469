package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
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

  private final ManualClock clock = new ManualClock();
  private final StopAdmission admission = new StopAdmission(clock);

  @Test
  void shouldAdmitEverythingBeforeTheStop() {
    assertThat(admission.admits(GENERATION, demand(2_000))).isTrue();
  }

  @Test
  void shouldRefuseLongGenerationsDuringTheStop() {
    admission.begin(Duration.ofMillis(7500));

    assertThat(admission.admits(GENERATION, demand(2_000))).isFalse();
    assertThat(admission.admits(GENERATION, Optional.empty())).isFalse();
  }

  @Test
  void shouldAdmitAShortGenerationWhileItCanEndInTime() {
    admission.begin(Duration.ofMillis(7500));

    assertThat(admission.admits(GENERATION, demand(30))).isTrue();
    clock.advance(Duration.ofMillis(4600));
    assertThat(admission.admits(GENERATION, demand(30))).isFalse();
  }

  @Test
  void shouldAdmitAPlainRequestIfItsTimeoutEndsBeforeTheGatewayStops() {
    admission.begin(Duration.ofMillis(7500));
    clock.advance(Duration.ofMillis(6400));
    assertThat(admission.admits(PLAIN_REQUEST, Optional.empty())).isTrue();

    clock.advance(Duration.ofMillis(200));
    assertThat(admission.admits(PLAIN_REQUEST, Optional.empty())).isFalse();
  }

  private static Optional<GenerationDemand> demand(int maxOutputTokens) {
    return Optional.of(new GenerationDemand(2_000, maxOutputTokens, OptionalInt.empty()));
  }

  private static HttpRoute route(RequestKind kind, Duration timeout, Duration target) {
    return new HttpRoute(
        "route",
        "shop.example",
        "/",
        kind,
        timeout,
        target,
        0,
        List.of(new WeightedService("shop", 1)),
        1,
        false);
  }
}
