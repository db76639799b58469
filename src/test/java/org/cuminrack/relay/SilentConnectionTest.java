package org.cuminrack.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.cuminrack.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** With the bounds that are used where the settings name none. */
class SilentConnectionTest {
  private static final Duration BOUND = Duration.ofSeconds(2);

  private final RelayFixture fixture = RelayFixture.with(Clock.system(), RelayBounds.defaults());
  private final RelayFixture.Entry entry = fixture.entry("entry-1");
  private final ScriptedUpstream upstream = fixture.upstream("upstream-1");
  private final CountDownLatch goOn = new CountDownLatch(1);
  private SilentLink link;

  @BeforeEach
  void linkUpstream() throws IOException {
    link = SilentLink.to(upstream);
    fixture.admission.upstreamAt(upstream, link.address());
  }

  @AfterEach
  void stop() throws Exception {
    link.close();
    fixture.close();
  }

  @Test
  void shouldGoOnWithAStreamOverAFreshConnectionWithinTwoSeconds() throws IOException {
    upstream.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", "boot-upstream-1");
          connection.tokens("g1", 0, 1);
          connection.hang();
        });
    upstream.on(
        "GET /v1/generations/g1/events?after=1",
        connection -> {
          connection.beginStream("g1", "boot-upstream-1");
          connection.token("g1", 2);
          connection.finish("g1", 3);
        });
    CallerSession session = entry.send(CallerMessage.generation()).readHead();
    session.readUntil("\"index\":1");

    long startNanos = System.nanoTime();
    link.silenceOpenConnections();
    String rest = session.readUntil("\"index\":3");
    Duration gap = Duration.ofNanos(System.nanoTime() - startNanos);

    assertThat(Tokens.indices(rest)).containsExactly(2, 3).inOrder();
    assertThat(gap).isLessThan(BOUND);
  }

  @Test
  void shouldSendNewWorkOverAFreshConnectionAtOnce() throws IOException {
    upstream.on("GET /orders/stock", connection -> connection.whole(200, Map.of(), "12"));
    entry.send(CallerMessage.of("GET", "/orders/stock")).readHead();

    link.silenceOpenConnections();
    long startNanos = System.nanoTime();
    CallerSession session = entry.send(CallerMessage.of("GET", "/orders/stock")).readHead();
    Duration taken = Duration.ofNanos(System.nanoTime() - startNanos);

    assertThat(session.readBody()).isEqualTo("12");
    assertThat(taken).isLessThan(BOUND);
  }

  @Test
  void shouldRepeatAnIdempotentCallWithinTwoSeconds() throws IOException {
    ScriptedUpstream second = fixture.upstream("upstream-2");
    second.on("GET /orders/stock", connection -> connection.whole(200, Map.of(), "12"));
    fixture.admission.upstreamAlsoAt(second, second.address());
    upstream.on("GET /orders/stock", connection -> connection.await(goOn));

    long startNanos = System.nanoTime();
    CallerSession session = entry.send(CallerMessage.of("GET", "/orders/stock"));
    RelayFixture.await(() -> upstream.count("GET /orders") == 1);
    link.silenceOpenConnections();
    String body = session.readHead().readBody();
    Duration taken = Duration.ofNanos(System.nanoTime() - startNanos);

    assertThat(body).isEqualTo("12");
    assertThat(taken).isLessThan(BOUND);
  }

  @Test
  void shouldNotRunAnOrderTwice() throws IOException {
    ScriptedUpstream second = fixture.upstream("upstream-2");
    fixture.admission.upstreamAlsoAt(second, second.address());
    upstream.on(
        "POST /orders/new",
        connection -> {
          connection.await(goOn);
          connection.whole(201, Map.of(), "{}");
        });
    CallerMessage order = CallerMessage.order("k1").withHeader("X-Timeout-Millis", "500");

    CallerSession session = entry.send(order);
    RelayFixture.await(() -> upstream.count("POST") == 1);
    link.silenceOpenConnections();
    goOn.countDown();
    session.readHead();
    CallerSession resent = entry.send(order).readHead();

    assertThat(session.readBody()).contains("\"ran\":\"unknown\"");
    assertThat(resent.readBody()).contains("\"ran\":\"unknown\"");
    assertThat(upstream.count("POST")).isEqualTo(1);
    assertThat(second.requests).isEmpty();
  }
}
