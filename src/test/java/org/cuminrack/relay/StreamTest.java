package org.cuminrack.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.cuminrack.admission.TicketOutcome.Result;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class StreamTest {
  private final RelayFixture fixture = RelayFixture.create();
  private final RelayFixture.Entry entry = fixture.entry("entry-1");
  private final ScriptedUpstream engine = fixture.upstream("engine-1");

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  @Test
  void shouldRelayEachTokenOnceAndInOrder() throws IOException {
    fixture.admission.setUpstreams(engine);
    engine.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.tokens("g1", 0, 9);
          connection.finish("g1", 10);
        });

    try (CallerSession session = entry.send(CallerHttpRequest.generation())) {
      String body = session.readHead().readBody();

      assertThat(session.status()).isEqualTo(200);
      assertThat(Tokens.indices(body)).isEqualTo(Tokens.indicesUpTo(10));
      assertThat(body).endsWith("data: [DONE]\n\n");
    }
    RelayFixture.await(() -> fixture.admission.results().contains(Result.COMPLETED));
    assertThat(fixture.admission.outcomes.get(0).outputTokens()).isEqualTo(11);
  }

  @Test
  void shouldDropDuplicateTokens() throws IOException {
    fixture.admission.setUpstreams(engine);
    engine.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.tokens("g1", 0, 4);
          connection.tokens("g1", 2, 6);
          connection.finish("g1", 7);
        });

    try (CallerSession session = entry.send(CallerHttpRequest.generation())) {
      String body = session.readHead().readBody();

      assertThat(Tokens.indices(body)).isEqualTo(Tokens.indicesUpTo(7));
    }
    assertThat(entry.count(RelayCounters.DUPLICATES_DROPPED)).isEqualTo(3);
  }

  @Test
  void shouldRequestMissingTokensAgain() throws IOException {
    fixture.admission.setUpstreams(engine);
    engine.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.tokens("g1", 0, 2);
          connection.token("g1", 5);
          connection.hang();
        });
    engine.on(
        "GET /v1/generations/g1/events?after=2",
        connection -> {
          connection.beginStream("g1", "boot-engine-1");
          connection.tokens("g1", 3, 6);
          connection.finish("g1", 7);
        });

    try (CallerSession session = entry.send(CallerHttpRequest.generation())) {
      String body = session.readHead().readBody();

      assertThat(Tokens.indices(body)).isEqualTo(Tokens.indicesUpTo(7));
    }
    assertThat(entry.count(RelayCounters.GAPS_REPAIRED)).isEqualTo(1);
  }
}
