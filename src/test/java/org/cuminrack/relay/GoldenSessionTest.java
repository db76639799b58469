package org.cuminrack.relay;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.member.EntryMember;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class GoldenSessionTest {
  private final RelayFixture fixture = RelayFixture.with(new ManualClock(), RelayBounds.defaults());
  private final RelayFixture.Entry entry1 = fixture.entry("entry-1");
  private final RelayFixture.Entry entry2 = fixture.entry("entry-2");
  private final ScriptedUpstream engine1 = fixture.upstream("engine-1");
  private final ScriptedUpstream engine2 = fixture.upstream("engine-2");
  private final ScriptedUpstream shop = fixture.upstream("shop-1");
  private final CountDownLatch proceed = new CountDownLatch(1);
  private final GoldenSession golden = new GoldenSession();

  @BeforeEach
  void script() {
    fixture.membership.setMembers(
        new EntryMember("entry-1", 1, "dc-a", "entry-1:8081", "entry-1:8082", false),
        new EntryMember("entry-2", 2, "dc-b", "entry-2:8081", "entry-2:8082", false));
    fixture.admission.setUpstreams(engine1, engine2);
    engine1.on("POST /v1/completions", completeStream("g1", engine1));
    engine2.on("POST /v1/completions", completeStream("g2", engine2));
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  private static ScriptedUpstream.Script completeStream(
      String generation, ScriptedUpstream engine) {
    return connection -> {
      connection.beginStream(generation, engine.bootId());
      connection.tokens(generation, 0, 2);
      connection.finish(generation, 3);
    };
  }

  private ScriptedUpstream.Script pausedAfterTwoTokens(Runnable onProceed) {
    return connection -> {
      connection.beginStream("g1", engine1.bootId());
      connection.tokens("g1", 0, 1);
      connection.await(proceed);
      onProceed.run();
      connection.tokens("g1", 2, 2);
      connection.finish("g1", 3);
    };
  }

  private CallerSession readTwoTokens() throws IOException {
    CallerSession session = golden.send(entry1, "entry-1", CallerMessage.generation());
    golden.head(session, "entry-1");
    golden.body(session.readUntil("\"index\":1"));
    return session;
  }

  @Test
  void shouldStreamAGeneration() throws IOException {
    CallerSession addresses =
        golden.send(entry1, "entry-1", CallerMessage.of("GET", "/v1/entries"));
    golden.recordResponse(addresses, "entry-1");
    CallerSession session = golden.send(entry1, "entry-1", CallerMessage.generation());
    golden.recordResponse(session, "entry-1");

    GoldenFile.check("plain-stream", golden.requestsOf(engine1).toString());
  }

  @Test
  void shouldResumeAtAnotherEntry() throws IOException {
    engine1.on("POST /v1/completions", pausedAfterTwoTokens(() -> {}));
    engine1.on(
        "GET /v1/generations/g1/events?after=1",
        connection -> {
          connection.beginStream("g1", engine1.bootId());
          connection.token("g1", 2);
          connection.finish("g1", 3);
        });
    CallerSession first = golden.send(entry1, "entry-1", CallerMessage.generation());
    golden.head(first, "entry-1");
    String read = golden.body(first.readUntil("\"index\":1"));
    first.reset();
    golden.comment("the caller's connection is lost");
    CallerMessage resumeRequest =
        CallerMessage.generation().withHeader("Last-Event-ID", Tokens.lastId(read));
    golden.recordResponse(golden.send(entry2, "entry-2", resumeRequest), "entry-2");

    GoldenFile.check("resume-at-another-entry", golden.requestsOf(engine1).toString());
  }

  @Test
  void shouldFailOverBeforeTheFirstToken() throws IOException {
    engine1.on("POST /v1/completions", connection -> engine1.crash());
    CallerSession session = golden.send(entry1, "entry-1", CallerMessage.generation());
    golden.recordResponse(session, "entry-1");

    GoldenFile.check(
        "engine-lost-before-first-token",
        golden.requestsOf(engine1).requestsOf(engine2).toString());
  }

  @Test
  void shouldEndWithAnErrorAfterTheFirstToken() throws IOException {
    engine1.on("POST /v1/completions", pausedAfterTwoTokens(engine1::crash));
    CallerSession session = readTwoTokens();
    golden.comment("engine-1 dies");
    proceed.countDown();
    golden.body(session.readBody());

    GoldenFile.check(
        "engine-lost-after-first-token", golden.requestsOf(engine1).requestsOf(engine2).toString());
  }

  @Test
  void shouldReturnTheStoredResponseToAResentOrder() throws IOException {
    fixture.admission.setUpstreams(shop);
    shop.on(
        "POST /orders/new",
        connection -> {
          connection.await(proceed);
          connection.respond(201, Map.of("Content-Type", "application/json"), "{\"order\":7}");
        });
    CallerSession first = golden.send(entry1, "entry-1", CallerMessage.order("k1"));
    RelayFixture.await(() -> shop.count("POST") == 1);
    first.reset();
    golden.comment("the caller's connection is lost");
    golden.recordResponse(golden.send(entry2, "entry-2", CallerMessage.order("k1")), "entry-2");
    golden.comment("the shop answers");
    proceed.countDown();
    RelayFixture.await(() -> entry1.api().inFlight() == 0);
    golden.recordResponse(golden.send(entry2, "entry-2", CallerMessage.order("k1")), "entry-2");

    GoldenFile.check("order-resent-after-lost-answer", golden.requestsOf(shop).toString());
  }

  @Test
  void shouldRejectRequestsThatAreNotAdmitted() throws IOException {
    fixture.admission.refusalReason = RefusalReason.OVERLOADED;
    golden.recordResponse(golden.send(entry1, "entry-1", CallerMessage.generation()), "entry-1");
    golden.recordResponse(golden.send(entry1, "entry-1", CallerMessage.order("k1")), "entry-1");
    fixture.admission.refusalReason = RefusalReason.NO_LEASE;
    golden.recordResponse(golden.send(entry1, "entry-1", CallerMessage.generation()), "entry-1");

    GoldenFile.check("refusal", golden.requestsOf(engine1).toString());
  }

  @Test
  void shouldRejectARequestThatCrashesEngines() throws IOException {
    engine1.on("POST /v1/completions", connection -> engine1.crash());
    engine2.on("POST /v1/completions", connection -> engine2.crash());
    ScriptedUpstream engine3 = fixture.upstream("engine-3");
    fixture.admission.setUpstreams(engine1, engine2, engine3);
    golden.recordResponse(golden.send(entry1, "entry-1", CallerMessage.generation()), "entry-1");
    golden.comment("the caller sends it again");
    golden.recordResponse(golden.send(entry2, "entry-2", CallerMessage.generation()), "entry-2");

    golden.requestsOf(engine1).requestsOf(engine2).requestsOf(engine3);
    GoldenFile.check("poison-request", golden.toString());
  }

  @Test
  void shouldFinishAStreamWhileTheEntryStopsAndTheDataCentreDrains() throws IOException {
    engine1.on("POST /v1/completions", pausedAfterTwoTokens(() -> {}));
    CallerSession session = readTwoTokens();
    golden.comment("entry-1 begins to stop; the data centre of both engines is drained");
    entry1.api().beginStop();
    fixture.admission.refusalReason = RefusalReason.NO_UPSTREAM;
    CallerSession addresses =
        golden.send(entry1, "entry-1", CallerMessage.of("GET", "/v1/entries"));
    golden.recordResponse(addresses, "entry-1");
    golden.recordResponse(golden.send(entry1, "entry-1", CallerMessage.generation()), "entry-1");
    golden.comment("the first stream goes on");
    proceed.countDown();
    golden.body(session.readBody());

    GoldenFile.check(
        "drain-during-stream", golden.requestsOf(engine1).requestsOf(engine2).toString());
  }
}
