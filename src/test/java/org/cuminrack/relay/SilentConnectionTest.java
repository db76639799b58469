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

/** Checks recovery from silent connections with the default timeouts. */
class SilentConnectionTest {
  private static final Duration MAX_RECOVERY_TIME = Duration.ofSeconds(2);

  private final RelayFixture fixture = RelayFixture.with(Clock.system(), RelayBounds.defaults());
  private final RelayFixture.Entry entry = fixture.entry("entry-1");
  private final ScriptedUpstream upstream = fixture.upstream("upstream-1");
  private final CountDownLatch proceed = new CountDownLatch(1);
  private SilencingProxy proxy;

  @BeforeEach
  void startProxy() throws IOException {
    proxy = SilencingProxy.to(upstream);
    fixture.admission.setUpstreamAt(upstream, proxy.address());
  }

  @AfterEach
  void stop() throws Exception {
    proxy.close();
    fixture.close();
  }

  @Test
  void shouldResumeAStreamOverANewConnectionWithinTwoSeconds() throws IOException {
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
    CallerSession session = entry.send(CallerHttpRequest.generation()).readHead();
    session.readUntil("\"index\":1");

    long startNanos = System.nanoTime();
    proxy.silenceOpenConnections();
    String rest = session.readUntil("\"index\":3");
    Duration gap = Duration.ofNanos(System.nanoTime() - startNanos);

    assertThat(Tokens.indices(rest)).containsExactly(2, 3).inOrder();
    assertThat(gap).isLessThan(MAX_RECOVERY_TIME);
  }

  @Test
  void shouldSendNewRequestsOverANewConnectionWithoutDelay() throws IOException {
    upstream.on("GET /orders/stock", connection -> connection.respond(200, Map.of(), "12"));
    entry.send(CallerHttpRequest.of("GET", "/orders/stock")).readHead();

    proxy.silenceOpenConnections();
    long startNanos = System.nanoTime();
    CallerSession session = entry.send(CallerHttpRequest.of("GET", "/orders/stock")).readHead();
    Duration elapsed = Duration.ofNanos(System.nanoTime() - startNanos);

    assertThat(session.readBody()).isEqualTo("12");
    assertThat(elapsed).isLessThan(MAX_RECOVERY_TIME);
  }

  @Test
  void shouldRetryAnIdempotentCallWithinTwoSeconds() throws IOException {
    ScriptedUpstream second = fixture.upstream("upstream-2");
    second.on("GET /orders/stock", connection -> connection.respond(200, Map.of(), "12"));
    fixture.admission.addUpstreamAt(second, second.address());
    upstream.on("GET /orders/stock", connection -> connection.await(proceed));

    long startNanos = System.nanoTime();
    CallerSession session = entry.send(CallerHttpRequest.of("GET", "/orders/stock"));
    RelayFixture.await(() -> upstream.count("GET /orders") == 1);
    proxy.silenceOpenConnections();
    String body = session.readHead().readBody();
    Duration elapsed = Duration.ofNanos(System.nanoTime() - startNanos);

    assertThat(body).isEqualTo("12");
    assertThat(elapsed).isLessThan(MAX_RECOVERY_TIME);
  }

  @Test
  void shouldNotRunAnOrderTwice() throws IOException {
    ScriptedUpstream second = fixture.upstream("upstream-2");
    fixture.admission.addUpstreamAt(second, second.address());
    upstream.on(
        "POST /orders/new",
        connection -> {
          connection.await(proceed);
          connection.respond(201, Map.of(), "{}");
        });
    CallerHttpRequest order = CallerHttpRequest.order("k1").withHeader("X-Timeout-Millis", "500");

    CallerSession session = entry.send(order);
    RelayFixture.await(() -> upstream.count("POST") == 1);
    proxy.silenceOpenConnections();
    proceed.countDown();
    session.readHead();
    CallerSession resent = entry.send(order).readHead();

    assertThat(session.readBody()).contains("\"ran\":\"unknown\"");
    assertThat(resent.readBody()).contains("\"ran\":\"unknown\"");
    assertThat(upstream.count("POST")).isEqualTo(1);
    assertThat(second.requestLines).isEmpty();
  }
}
