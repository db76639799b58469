package org.cuminrack.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.cuminrack.admission.TicketOutcome.Result;
import org.cuminrack.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CallerRequestHandlingTest {
  private static final int CHARACTERS_PER_TOKEN = 4_000;
  private static final int TOKENS_IN_STREAM = 20_000;

  private final RelayFixture fixture =
      RelayFixture.with(
          Clock.system(),
          RelayBounds.defaults()
              .withSilenceTimeout(Duration.ofMillis(300))
              .withUnreadDataTimeout(Duration.ofMillis(500))
              .withRequestBodyTimeout(Duration.ofMillis(300)));
  private final RelayFixture.Entry entry = fixture.entry("entry-1");
  private final ScriptedUpstream engine = fixture.upstream("engine-1");

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  private void scriptLargeStream() {
    fixture.admission.setUpstreams(engine);
    String text = "x".repeat(CHARACTERS_PER_TOKEN);
    engine.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          for (int index = 0; index < TOKENS_IN_STREAM; index++) {
            String data = "{\"index\":" + index + ",\"text\":\"" + text + "\"}";
            connection.chunk("id: g1:" + index + "\ndata: " + data + "\n\n");
          }
        });
  }

  @Test
  void shouldCancelOnTheEngineIfTheCallerReadsTooSlowly() throws IOException {
    scriptLargeStream();

    CallerSession session =
        CallerSession.connectAndSendWithReceiveBuffer(
            entry.port(), CallerHttpRequest.generation(), 4_096);
    session.readHead();

    RelayFixture.await(() -> engine.count("DELETE /v1/generations/g1") == 1);
    assertThat(entry.count(RelayCounters.SLOW_CALLERS)).isEqualTo(1);
    assertThat(entry.count(RelayCounters.TOKENS)).isLessThan((long) TOKENS_IN_STREAM);
    assertThat(fixture.admission.results()).containsExactly(Result.CANCELLED);
    RelayFixture.await(() -> entry.api().inFlightCount() == 0);
  }

  @Test
  void shouldNotCancelTheGenerationOfADisconnectedCaller() throws IOException {
    scriptLargeStream();

    CallerSession session = entry.send(CallerHttpRequest.generation()).readHead();
    session.readUntil("\"index\":0");
    session.reset();

    RelayFixture.await(() -> entry.count(RelayCounters.CALLERS_GONE) == 1);
    RelayFixture.await(() -> entry.api().inFlightCount() == 0);
    assertThat(engine.count("DELETE")).isEqualTo(0);
    assertThat(fixture.admission.results()).isEmpty();
  }

  @Test
  void shouldDetectACallerThatDisconnectsBeforeTheFirstToken() throws IOException {
    fixture.admission.setUpstreams(engine);
    engine.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.hang();
        });

    CallerSession session = entry.send(CallerHttpRequest.generation());
    RelayFixture.await(() -> engine.count("POST") == 1);
    session.close();

    RelayFixture.await(() -> entry.count(RelayCounters.CALLERS_GONE) == 1);
    RelayFixture.await(() -> entry.api().inFlightCount() == 0);
  }

  @Test
  void shouldRemoveADisconnectedCallerFromTheAdmissionQueue() throws IOException {
    fixture.admission.queueAll = true;

    CallerSession session = entry.send(CallerHttpRequest.generation());
    RelayFixture.await(() -> fixture.admission.pending.size() == 1);
    session.close();

    RelayFixture.await(() -> fixture.admission.pending.get(0).isCancelled());
  }

  @Test
  void shouldServeTheNextRequestOnTheSameConnection() throws IOException {
    fixture.admission.setUpstreams(engine);
    CountDownLatch proceed = new CountDownLatch(1);
    engine.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.await(proceed);
          connection.token("g1", 0);
          connection.finish("g1", 1);
        });

    CallerSession session = entry.send(CallerHttpRequest.generation());
    RelayFixture.await(() -> engine.count("POST") == 1);
    session.sendNext(CallerHttpRequest.of("GET", "/v1/entries"));
    proceed.countDown();

    assertThat(Tokens.indices(session.readHead().readBody())).containsExactly(0, 1).inOrder();
    assertThat(session.readHead().readBody()).contains("ttl_seconds");
  }

  @Test
  void shouldRejectABodyThatIsTooLargeForTheRoute() throws IOException {
    String prompt = "p".repeat(5_000);
    CallerHttpRequest request =
        CallerHttpRequest.generation()
            .withBody("{\"model\":\"planner\",\"prompt\":\"" + prompt + "\"}");

    CallerSession session = entry.send(request).readHead();

    assertThat(session.status()).isEqualTo(413);
    assertThat(session.readBody()).contains("at most 4096 bytes");
  }

  @Test
  void shouldRejectRequestsAboveTheConcurrencyLimitOfTheOrganisation() throws IOException {
    fixture.admission.setUpstreams(engine);
    engine.on("POST /v1/completions", ScriptedConnection::hang);
    CallerHttpRequest request =
        CallerHttpRequest.generation().withHeader("X-Organisation", "small");

    entry.send(request);
    RelayFixture.await(() -> engine.count("POST") == 1);
    CallerSession second = entry.send(request).readHead();

    assertThat(second.status()).isEqualTo(429);
    assertThat(second.header("Retry-After")).isEqualTo("1");
    assertThat(second.readBody()).contains("organisation-limit");
  }

  @Test
  void shouldRejectABodyThatIsNotReceivedInTime() throws IOException {
    CallerHttpRequest request = CallerHttpRequest.generation().withHeader("Content-Length", "500");

    CallerSession session = entry.send(request).readHead();

    assertThat(session.status()).isEqualTo(408);
    RelayFixture.await(() -> entry.api().inFlightCount() == 0);
  }

  /** Guards against known callers that are told for good that they are unknown. */
  @Test
  void shouldRefuseCallersUntilTheEntryKnowsTheOrganisations() throws IOException {
    fixture.membership.clearView();

    CallerSession session = entry.send(CallerHttpRequest.generation()).readHead();

    assertThat(session.status()).isEqualTo(503);
    String body = session.readBody();
    assertThat(body).contains("no-lease");
    assertThat(body).contains("\"ran\":\"no\"");
  }

  @Test
  void shouldRejectACallerWithAnInvalidKey() throws IOException {
    CallerHttpRequest request =
        CallerHttpRequest.generation()
            .withHeader("X-Organisation", "keyed")
            .withHeader("Authorization", "Bearer wrong");

    CallerSession session = entry.send(request).readHead();

    assertThat(session.status()).isEqualTo(401);
    assertThat(session.readBody()).contains("unauthorised");
  }

  @Test
  void shouldAcceptACallerWithAValidKey() throws IOException {
    CallerHttpRequest request =
        CallerHttpRequest.of("GET", "/nowhere/at-all")
            .withHeader("X-Organisation", "keyed")
            .withHeader("Authorization", "Bearer secret");

    CallerSession session = entry.send(request).readHead();

    assertThat(session.status()).isEqualTo(404);
    assertThat(session.readBody()).contains("unknown-route");
  }

  @Test
  void shouldReportTheLocationOfMalformedJson() throws IOException {
    CallerSession session =
        entry.send(CallerHttpRequest.generation().withBody("{\"model\":")).readHead();

    assertThat(session.status()).isEqualTo(400);
    assertThat(session.readBody()).contains("line 1");
  }
}
