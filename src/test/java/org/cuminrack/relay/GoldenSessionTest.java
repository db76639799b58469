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
  private final TranscriptRecorder recorder = new TranscriptRecorder();

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
    CallerSession session =
        recorder.sendAndRecord(entry1, "entry-1", CallerHttpRequest.generation());
    recorder.recordHead(session, "entry-1");
    recorder.recordBody(session.readUntil("\"index\":1"));
    return session;
  }

  @Test
  void shouldStreamAGeneration() throws IOException {
    CallerSession entriesSession =
        recorder.sendAndRecord(entry1, "entry-1", CallerHttpRequest.of("GET", "/v1/entries"));
    recorder.recordResponse(entriesSession, "entry-1");
    CallerSession session =
        recorder.sendAndRecord(entry1, "entry-1", CallerHttpRequest.generation());
    recorder.recordResponse(session, "entry-1");

    GoldenFile.check("plain-stream", recorder.recordRequestsOf(engine1).toString());
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
    CallerSession first = recorder.sendAndRecord(entry1, "entry-1", CallerHttpRequest.generation());
    recorder.recordHead(first, "entry-1");
    String read = recorder.recordBody(first.readUntil("\"index\":1"));
    first.reset();
    recorder.recordComment("the caller's connection is lost");
    CallerHttpRequest resumeRequest =
        CallerHttpRequest.generation().withHeader("Last-Event-ID", Tokens.lastEventId(read));
    recorder.recordResponse(recorder.sendAndRecord(entry2, "entry-2", resumeRequest), "entry-2");

    GoldenFile.check("resume-at-another-entry", recorder.recordRequestsOf(engine1).toString());
  }

  @Test
  void shouldFailOverBeforeTheFirstToken() throws IOException {
    engine1.on("POST /v1/completions", connection -> engine1.crash());
    CallerSession session =
        recorder.sendAndRecord(entry1, "entry-1", CallerHttpRequest.generation());
    recorder.recordResponse(session, "entry-1");

    GoldenFile.check(
        "engine-lost-before-first-token",
        recorder.recordRequestsOf(engine1).recordRequestsOf(engine2).toString());
  }

  @Test
  void shouldEndWithAnErrorAfterTheFirstToken() throws IOException {
    engine1.on("POST /v1/completions", pausedAfterTwoTokens(engine1::crash));
    CallerSession session = readTwoTokens();
    recorder.recordComment("engine-1 dies");
    proceed.countDown();
    recorder.recordBody(session.readBody());

    GoldenFile.check(
        "engine-lost-after-first-token",
        recorder.recordRequestsOf(engine1).recordRequestsOf(engine2).toString());
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
    CallerSession first = recorder.sendAndRecord(entry1, "entry-1", CallerHttpRequest.order("k1"));
    RelayFixture.await(() -> shop.count("POST") == 1);
    first.reset();
    recorder.recordComment("the caller's connection is lost");
    recorder.recordResponse(
        recorder.sendAndRecord(entry2, "entry-2", CallerHttpRequest.order("k1")), "entry-2");
    recorder.recordComment("the shop answers");
    proceed.countDown();
    RelayFixture.await(() -> entry1.api().inFlightCount() == 0);
    recorder.recordResponse(
        recorder.sendAndRecord(entry2, "entry-2", CallerHttpRequest.order("k1")), "entry-2");

    GoldenFile.check("order-resent-after-lost-answer", recorder.recordRequestsOf(shop).toString());
  }

  @Test
  void shouldRejectRequestsThatAreNotAdmitted() throws IOException {
    fixture.admission.refusalReason = RefusalReason.OVERLOADED;
    recorder.recordResponse(
        recorder.sendAndRecord(entry1, "entry-1", CallerHttpRequest.generation()), "entry-1");
    recorder.recordResponse(
        recorder.sendAndRecord(entry1, "entry-1", CallerHttpRequest.order("k1")), "entry-1");
    fixture.admission.refusalReason = RefusalReason.NO_LEASE;
    recorder.recordResponse(
        recorder.sendAndRecord(entry1, "entry-1", CallerHttpRequest.generation()), "entry-1");

    GoldenFile.check("refusal", recorder.recordRequestsOf(engine1).toString());
  }

  @Test
  void shouldRejectARequestThatCrashesEngines() throws IOException {
    engine1.on("POST /v1/completions", connection -> engine1.crash());
    engine2.on("POST /v1/completions", connection -> engine2.crash());
    ScriptedUpstream engine3 = fixture.upstream("engine-3");
    fixture.admission.setUpstreams(engine1, engine2, engine3);
    recorder.recordResponse(
        recorder.sendAndRecord(entry1, "entry-1", CallerHttpRequest.generation()), "entry-1");
    recorder.recordComment("the caller sends it again");
    recorder.recordResponse(
        recorder.sendAndRecord(entry2, "entry-2", CallerHttpRequest.generation()), "entry-2");

    recorder.recordRequestsOf(engine1).recordRequestsOf(engine2).recordRequestsOf(engine3);
    GoldenFile.check("poison-request", recorder.toString());
  }

  @Test
  void shouldFinishAStreamWhileTheEntryStopsAndTheDataCentreDrains() throws IOException {
    engine1.on("POST /v1/completions", pausedAfterTwoTokens(() -> {}));
    CallerSession session = readTwoTokens();
    recorder.recordComment("entry-1 begins to stop; the data centre of both engines is drained");
    entry1.api().beginStop();
    fixture.admission.refusalReason = RefusalReason.NO_UPSTREAM;
    CallerSession entriesSession =
        recorder.sendAndRecord(entry1, "entry-1", CallerHttpRequest.of("GET", "/v1/entries"));
    recorder.recordResponse(entriesSession, "entry-1");
    recorder.recordResponse(
        recorder.sendAndRecord(entry1, "entry-1", CallerHttpRequest.generation()), "entry-1");
    recorder.recordComment("the first stream goes on");
    proceed.countDown();
    recorder.recordBody(session.readBody());

    GoldenFile.check(
        "drain-during-stream",
        recorder.recordRequestsOf(engine1).recordRequestsOf(engine2).toString());
  }
}
