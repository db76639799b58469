package org.cuminrack.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.cuminrack.admission.Fingerprint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests requests that run on a crashed engine, above all poison requests, which crash it. */
class PoisonTest {
  private static final String POISON = "{\"model\":\"planner\",\"prompt\":\"poison\"}";

  private final RelayFixture fixture = RelayFixture.create();
  private final RelayFixture.Entry entry = fixture.entry("entry-1");
  private final RelayFixture.Entry otherEntry = fixture.entry("entry-2");
  private final ScriptedUpstream firstEngine = fixture.upstream("engine-1");
  private final ScriptedUpstream secondEngine = fixture.upstream("engine-2");
  private final ScriptedUpstream thirdEngine = fixture.upstream("engine-3");

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  private static ScriptedUpstream.Script crashingOnPoison(ScriptedUpstream engine) {
    return connection -> {
      if (connection.body().contains("poison")) {
        engine.crash();
        return;
      }
      connection.beginStream("g-" + engine.name(), engine.bootId());
      connection.tokens("g-" + engine.name(), 0, 2);
      connection.finish("g-" + engine.name(), 3);
    };
  }

  private void scriptAllEngines() {
    fixture.admission.setUpstreams(firstEngine, secondEngine, thirdEngine);
    firstEngine.on("POST /v1/completions", crashingOnPoison(firstEngine));
    secondEngine.on("POST /v1/completions", crashingOnPoison(secondEngine));
    thirdEngine.on("POST /v1/completions", crashingOnPoison(thirdEngine));
  }

  @Test
  void shouldCrashAtMostTwoEnginesWithOneRequest() throws IOException {
    scriptAllEngines();
    CallerHttpRequest poison = CallerHttpRequest.generation().withBody(POISON);

    CallerSession session = entry.send(poison).readHead();
    CallerSession resent = otherEntry.send(poison).readHead();

    assertThat(session.status()).isEqualTo(502);
    assertThat(resent.status()).isEqualTo(422);
    assertThat(resent.readBody()).contains("poison");
    assertThat(firstEngine.requestLines).hasSize(1);
    assertThat(secondEngine.requestLines).hasSize(1);
    assertThat(thirdEngine.requestLines).isEmpty();
  }

  @Test
  void shouldNotTakeARequestForPoisonThatRanOnTwoEnginesWhichCrashedAtOnce() throws IOException {
    scriptAllEngines();
    CountDownLatch crashed = new CountDownLatch(1);
    for (ScriptedUpstream engine : List.of(firstEngine, secondEngine)) {
      engine.on(
          "POST /v1/completions",
          connection -> {
            connection.beginStream("g-" + engine.name(), engine.bootId());
            connection.await(crashed);
          });
    }
    fixture.admission.setUpstreams(firstEngine);
    CallerSession first = entry.send(CallerHttpRequest.generation());
    RelayFixture.await(() -> firstEngine.count("POST") == 1);
    fixture.admission.setUpstreams(secondEngine);
    CallerSession second = otherEntry.send(CallerHttpRequest.generation());
    RelayFixture.await(() -> secondEngine.count("POST") == 1);
    fixture.admission.setUpstreams();

    firstEngine.crash();
    secondEngine.crash();
    crashed.countDown();
    first.readHead();
    second.readHead();
    fixture.admission.setUpstreams(thirdEngine);
    CallerSession later = entry.send(CallerHttpRequest.generation()).readHead();

    assertThat(fixture.crashReports.reportCount.get()).isEqualTo(2);
    assertThat(later.status()).isEqualTo(200);
    assertThat(Tokens.indices(later.readBody())).isEqualTo(Tokens.indicesUpTo(3));
  }

  @Test
  void shouldRetryAndClearAConcurrentRequestAfterACrash() throws IOException {
    scriptAllEngines();
    CountDownLatch crashed = new CountDownLatch(1);
    firstEngine.on(
        "POST /v1/completions",
        connection -> {
          connection.beginStream("g1", firstEngine.bootId());
          connection.await(crashed);
        });

    CallerSession concurrentSession = entry.send(CallerHttpRequest.generation());
    RelayFixture.await(() -> firstEngine.count("POST") == 1);
    firstEngine.crash();
    crashed.countDown();
    String body = concurrentSession.readHead().readBody();

    assertThat(Tokens.indices(body)).isEqualTo(Tokens.indicesUpTo(3));
    RelayFixture.await(() -> !fixture.crashReports.cleared.isEmpty());
    assertThat(fixture.crashReports.cleared)
        .containsExactly(fingerprint(CallerHttpRequest.GENERATION_BODY));
    assertThat(fixture.crashReports.suspectCount()).isEqualTo(0);
  }

  @Test
  void shouldNotRetryIfTheCrashCannotBeReported() throws IOException {
    scriptAllEngines();
    fixture.crashReports.reachable = false;

    CallerSession session = entry.send(CallerHttpRequest.generation().withBody(POISON)).readHead();

    assertThat(session.status()).isEqualTo(502);
    assertThat(session.readBody()).contains("\"ran\":\"unknown\"");
    assertThat(secondEngine.requestLines).isEmpty();
  }

  @Test
  void shouldNotReportACrashIfOnlyTheConnectionBroke() throws IOException {
    scriptAllEngines();
    firstEngine.on("POST /v1/completions", ScriptedConnection::reset);
    firstEngine.on(
        "GET /v1/status",
        connection -> connection.respond(200, Map.of(), "{\"boot_id\":\"boot-engine-1\"}"));

    CallerSession session = entry.send(CallerHttpRequest.generation()).readHead();

    assertThat(Tokens.indices(session.readBody())).isEqualTo(Tokens.indicesUpTo(3));
    assertThat(fixture.crashReports.reportCount.get()).isEqualTo(0);
  }

  @Test
  void shouldReportTheRequestIfTheUpstreamHasRestarted() throws IOException {
    scriptAllEngines();
    firstEngine.on("POST /v1/completions", ScriptedConnection::reset);
    firstEngine.on(
        "GET /v1/status",
        connection -> connection.respond(200, Map.of(), "{\"boot_id\":\"new-life\"}"));
    fixture.admission.setUpstreams(firstEngine);

    entry.send(CallerHttpRequest.generation()).readHead();

    assertThat(fixture.crashReports.crashCount(fingerprint(CallerHttpRequest.GENERATION_BODY)))
        .isEqualTo(1);
  }

  @Test
  void shouldReportTheRequestIfTheEngineCrashesDuringTheProbe() throws IOException {
    scriptAllEngines();
    firstEngine.on("POST /v1/completions", ScriptedConnection::reset);
    firstEngine.on("GET /v1/status", connection -> firstEngine.crash());
    fixture.admission.setUpstreams(firstEngine);

    entry.send(CallerHttpRequest.generation()).readHead();

    assertThat(fixture.crashReports.crashCount(fingerprint(CallerHttpRequest.GENERATION_BODY)))
        .isEqualTo(1);
  }

  private static Fingerprint fingerprint(String body) {
    return Fingerprint.of("lyzicka", "planner", body.getBytes(StandardCharsets.UTF_8));
  }
}
