package org.cuminrack.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CallerResumeTest {
  private final RelayFixture fixture = RelayFixture.create();
  private final RelayFixture.Entry entry = fixture.entry("entry-1");
  private final RelayFixture.Entry otherEntry = fixture.entry("entry-2");
  private final ScriptedUpstream engine = fixture.upstream("engine-1");

  @BeforeEach
  void script() {
    fixture.admission.setUpstreams(engine);
    engine.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.tokens("g1", 0, 3);
          connection.hang();
        });
    engine.on(
        "GET /v1/generations/g1/events?after=3",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.tokens("g1", 4, 6);
          connection.finish("g1", 7);
        });
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  private String readFourTokensAndDisconnect() throws IOException {
    CallerSession session = entry.send(CallerHttpRequest.generation()).readHead();
    String body = session.readUntil("\"index\":3");
    session.reset();
    return Tokens.lastEventId(body);
  }

  private CallerSession resume(String lastEventId, CallerHttpRequest request) throws IOException {
    return otherEntry.send(request.withHeader("Last-Event-ID", lastEventId)).readHead();
  }

  @Test
  void shouldResumeAtAnotherEntryAfterTheLastToken() throws IOException {
    String lastId = readFourTokensAndDisconnect();
    RelayFixture.await(() -> entry.count(RelayCounters.CALLERS_GONE) == 1);

    CallerSession session = resume(lastId, CallerHttpRequest.generation());

    assertThat(session.status()).isEqualTo(200);
    String body = session.readBody();
    assertThat(Tokens.indices(body)).containsExactly(4, 5, 6, 7).inOrder();
    assertThat(body).endsWith("[DONE]\n\n");
    assertThat(engine.count("DELETE")).isEqualTo(0);
  }

  @Test
  void shouldResumeWithoutALease() throws IOException {
    String lastId = readFourTokensAndDisconnect();
    fixture.membership.setLeaseValid(false);

    CallerSession session = resume(lastId, CallerHttpRequest.generation());

    assertThat(Tokens.indices(session.readBody())).containsExactly(4, 5, 6, 7).inOrder();
  }

  @Test
  void shouldRejectAForgedId() throws IOException {
    String lastId = readFourTokensAndDisconnect();
    String forged = lastId.replaceFirst("\\.3\\.", ".2.");

    CallerSession session = resume(forged, CallerHttpRequest.generation());

    assertThat(session.status()).isEqualTo(403);
    assertThat(engine.count("GET")).isEqualTo(0);
  }

  @Test
  void shouldRejectTheIdOfAnotherOrganisation() throws IOException {
    String lastId = readFourTokensAndDisconnect();

    CallerSession session =
        resume(lastId, CallerHttpRequest.generation().withHeader("X-Organisation", "small"));

    assertThat(session.status()).isEqualTo(403);
  }

  @Test
  void shouldRejectAnIdOfAnotherRequest() throws IOException {
    String lastId = readFourTokensAndDisconnect();
    CallerHttpRequest other =
        CallerHttpRequest.generation().withBody("{\"model\":\"planner\",\"prompt\":\"other\"}");

    CallerSession session = resume(lastId, other);

    assertThat(session.status()).isEqualTo(403);
  }

  @Test
  void shouldReportALostGenerationIfTheEngineDoesNotHaveIt() throws IOException {
    String lastId = readFourTokensAndDisconnect();
    engine.on(
        "GET /v1/generations/g1/events?after=3",
        connection -> connection.respond(404, Map.of(), ""));

    CallerSession session = resume(lastId, CallerHttpRequest.generation());

    assertThat(session.status()).isEqualTo(502);
    String body = session.readBody();
    assertThat(body).contains("generation-lost");
    assertThat(body).contains("\"last_index\":3");
  }

  @Test
  void shouldEndImmediatelyIfTheCallerHasReadEverything() throws IOException {
    String lastId = readFourTokensAndDisconnect();
    String body = resume(lastId, CallerHttpRequest.generation()).readBody();

    CallerSession session = resume(Tokens.lastEventId(body), CallerHttpRequest.generation());

    assertThat(session.readBody()).isEqualTo("data: [DONE]\n\n");
  }
}
