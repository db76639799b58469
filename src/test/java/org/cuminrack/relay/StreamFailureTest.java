package org.cuminrack.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.cuminrack.admission.TicketOutcome.Result;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class StreamFailureTest {
  private final RelayFixture fixture = RelayFixture.create();
  private final RelayFixture.Entry entry = fixture.entry("entry-1");
  private final ScriptedUpstream engine = fixture.upstream("engine-1");
  private final ScriptedUpstream otherEngine = fixture.upstream("engine-2");

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  private static ScriptedUpstream.Script completeStream(String generation, String bootId) {
    return connection -> {
      connection.beginStream(generation, bootId);
      connection.tokens(generation, 0, 5);
      connection.finish(generation, 6);
    };
  }

  @Test
  void shouldFailOverIfTheEngineCrashedBeforeTheFirstToken() throws IOException {
    fixture.admission.setUpstreams(engine, otherEngine);
    engine.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          engine.crash();
        });
    otherEngine.on("POST /v1/completions", completeStream("g2", "boot-engine-2"));

    CallerSession session = entry.send(CallerHttpRequest.generation()).readHead();

    assertThat(Tokens.indices(session.readBody())).isEqualTo(Tokens.indicesUpTo(6));
    assertThat(fixture.admission.requests.get(1).attempt()).isEqualTo(2);
    assertThat(fixture.admission.requests.get(1).excludedUpstreams()).containsExactly("engine-1");
    assertThat(fixture.admission.results())
        .containsExactly(Result.LOST, Result.COMPLETED)
        .inOrder();
  }

  @Test
  void shouldEndWithAnErrorIfTheEngineCrashedAfterTheFirstToken() throws IOException {
    fixture.admission.setUpstreams(engine, otherEngine);
    CountDownLatch crash = new CountDownLatch(1);
    engine.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.tokens("g1", 0, 2);
          connection.await(crash);
          engine.crash();
        });
    otherEngine.on("POST /v1/completions", completeStream("g2", "boot-engine-2"));

    CallerSession session = entry.send(CallerHttpRequest.generation()).readHead();
    String firstPart = session.readUntil("\"index\":2");
    crash.countDown();
    String rest = session.readBody();

    assertThat(Tokens.indices(firstPart)).isEqualTo(Tokens.indicesUpTo(2));
    assertThat(rest).startsWith("event: error\ndata: {");
    assertThat(rest).contains("generation-lost");
    assertThat(rest).contains("\"last_index\":2");
    assertThat(otherEngine.requestLines).isEmpty();
  }

  @Test
  void shouldReplaceASilentConnectionAndResume() throws IOException {
    fixture.admission.setUpstreams(engine);
    engine.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.tokens("g1", 0, 2);
          connection.hang();
        });
    engine.on(
        "GET /v1/generations/g1/events?after=2",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.tokens("g1", 3, 5);
          connection.finish("g1", 6);
        });

    CallerSession session = entry.send(CallerHttpRequest.generation()).readHead();

    assertThat(Tokens.indices(session.readBody())).isEqualTo(Tokens.indicesUpTo(6));
    assertThat(entry.count(RelayCounters.CONNECTIONS_REPLACED)).isAtLeast(1);
  }

  @Test
  void shouldResumeIfTheConnectionEndsWithinAnEvent() throws IOException {
    fixture.admission.setUpstreams(engine);
    engine.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.tokens("g1", 0, 2);
          connection.raw("8\r\nid: g1");
        });
    engine.on(
        "GET /v1/generations/g1/events",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.tokens("g1", 0, 5);
          connection.finish("g1", 6);
        });

    CallerSession session = entry.send(CallerHttpRequest.generation()).readHead();

    assertThat(Tokens.indices(session.readBody())).isEqualTo(Tokens.indicesUpTo(6));
  }

  @Test
  void shouldDiscardEventsOfAnotherGeneration() throws IOException {
    fixture.admission.setUpstreams(engine);
    engine.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.tokens("g1", 0, 2);
          connection.token("g9", 3);
          connection.hang();
        });
    engine.on(
        "GET /v1/generations/g1/events?after=2",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.tokens("g1", 3, 5);
          connection.finish("g1", 6);
        });

    CallerSession session = entry.send(CallerHttpRequest.generation()).readHead();

    assertThat(Tokens.indices(session.readBody())).isEqualTo(Tokens.indicesUpTo(6));
    assertThat(entry.count(RelayCounters.CROSSED_ANSWERS)).isEqualTo(1);
  }

  @Test
  void shouldFailOverIfTheEngineNeverResponds() throws IOException {
    fixture.admission.setUpstreams(engine, otherEngine);
    engine.on("POST /v1/completions", ScriptedConnection::hang);
    otherEngine.on("POST /v1/completions", completeStream("g2", "boot-engine-2"));

    CallerSession session = entry.send(CallerHttpRequest.generation()).readHead();

    assertThat(Tokens.indices(session.readBody())).isEqualTo(Tokens.indicesUpTo(6));
  }

  @Test
  void shouldFailOverIfTheEngineIsSilentBeforeTheFirstToken() throws IOException {
    fixture.admission.setUpstreams(engine, otherEngine);
    engine.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.hang();
        });
    engine.on("GET /v1/generations", ScriptedConnection::hang);
    otherEngine.on("POST /v1/completions", completeStream("g2", "boot-engine-2"));

    CallerSession session =
        entry
            .send(CallerHttpRequest.generation().withHeader("X-Timeout-Millis", "3000"))
            .readHead();

    assertThat(Tokens.indices(session.readBody())).isEqualTo(Tokens.indicesUpTo(6));
  }

  @Test
  void shouldRelayAnOverloadResponseOfTheEngine() throws IOException {
    fixture.admission.setUpstreams(engine, otherEngine);
    engine.on(
        "POST /v1/completions",
        connection -> connection.respond(503, Map.of("Retry-After", "3"), ""));

    CallerSession session = entry.send(CallerHttpRequest.generation()).readHead();

    assertThat(session.status()).isEqualTo(503);
    assertThat(session.header("Retry-After")).isEqualTo("3");
    assertThat(session.readBody()).contains("overloaded");
    assertThat(fixture.admission.results()).containsExactly(Result.OVERLOADED);
    assertThat(otherEngine.requestLines).isEmpty();
  }

  @Test
  void shouldCancelTheGenerationIfTheLeaseExpiresDuringTheSend() throws IOException {
    fixture.admission.setUpstreams(engine);
    engine.on("POST /v1/completions", completeStream("g1", "boot-engine-1"));
    engine.on("DELETE /v1/generations/g1", connection -> connection.respond(204, Map.of(), ""));
    fixture.membership.setLeaseValid(false);
    fixture.membership.addNextLeaseResults(true);

    CallerSession session = entry.send(CallerHttpRequest.generation()).readHead();

    assertThat(session.status()).isEqualTo(503);
    assertThat(session.readBody()).contains("no-lease");
    RelayFixture.await(() -> engine.count("DELETE /v1/generations/g1") == 1);
    assertThat(entry.count(RelayCounters.LATE_DISPATCHES)).isEqualTo(1);
  }

  @Test
  void shouldRespondAtTheTimeoutAndCancelTheGeneration() throws IOException {
    fixture.admission.setUpstreams(engine);
    engine.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.hang();
        });
    engine.on(
        "GET /v1/generations/g1/events",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.hang();
        });

    CallerSession session =
        entry.send(CallerHttpRequest.generation().withHeader("X-Timeout-Millis", "500")).readHead();

    assertThat(session.status()).isEqualTo(504);
    assertThat(session.readBody()).contains("\"ran\":\"unknown\"");
    RelayFixture.await(() -> engine.count("DELETE /v1/generations/g1") == 1);
    assertThat(fixture.admission.results()).containsExactly(Result.CANCELLED);
  }
}
