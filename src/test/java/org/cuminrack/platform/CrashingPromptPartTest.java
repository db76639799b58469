package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Generations that share one part of their prompt, and otherwise differ, crash every engine that
 * runs them; sound generations share their other parts.
 */
@Tag("process")
class CrashingPromptPartTest {
  /** Crashes that are allowed before the part must be recognised. */
  private static final int MAX_CRASHES = 5;

  /** Dispatches that are allowed after that. */
  private static final int MAX_LATE_DISPATCHES = 3;

  private static final int SENDS = 15;

  @TempDir Path folder;
  private GatewayCluster cluster;
  private int calls;

  @BeforeEach
  void start() throws Exception {
    cluster = GatewayCluster.start(folder, 3);
  }

  @AfterEach
  void stop() throws Exception {
    cluster.close();
  }

  @Test
  void shouldStopSendingGenerationsWithAPromptPartThatCrashesEngines() throws Exception {
    for (int i = 0; i < SENDS; i++) {
      sendCrashing("a1:79,bad0:30," + i + ":900");
      assertServed("a1:79,b" + i % 2 + ":30,5" + i + ":900");
    }

    assertDispatchesAreBounded();
    assertThat(sendCrashing("a1:79,bad0:30,ff:900")).containsMatch("Retry-After: [0-9.]+");
    cluster.assertAllRunning();
  }

  @Test
  void shouldStopSendingGenerationsWhoseFirstPromptPartCrashesEngines() throws Exception {
    for (int i = 0; i < SENDS; i++) {
      sendCrashing("bad0:79,a1:30," + i + ":900");
      assertServed("a1:30,5" + i + ":900");
    }

    assertDispatchesAreBounded();
  }

  @Test
  void shouldServeGenerationsWithARarePartThatAlwaysCameWithTheCrashingOne() throws Exception {
    for (int i = 0; i < SENDS; i++) {
      sendCrashing("a1:79,bad0:30,c1:30," + i + ":900");
    }

    assertDispatchesAreBounded();
    for (String gateway : cluster.gateways()) {
      assertServed(gateway, "a1:79,c1:30,5:900");
      assertServed(gateway, "c1:79,a1:30,6:900");
    }
    sendCrashing("bad0:79,a1:30,7:900");
    assertDispatchesAreBounded();
  }

  @Test
  void shouldStopSendingGenerationsWithACrashingPartIfManyRunBeforeTheFirstCrashIsKnown()
      throws Exception {
    ExecutorService callers = Executors.newFixedThreadPool(25);
    try {
      List<CompletableFuture<String>> answers = new ArrayList<>();
      for (int i = 0; i < 25; i++) {
        String prompt = "a1:79,bad0:30," + i + ":900";
        answers.add(CompletableFuture.supplyAsync(() -> sendUnchecked(prompt), callers));
      }
      answers.forEach(CompletableFuture::join);
    } finally {
      callers.shutdownNow();
    }
    cluster.recover();
    long before = crashingDispatches();

    for (int i = 100; i < 100 + SENDS; i++) {
      sendCrashing("a1:79,bad0:30," + i + ":900");
      assertServed("a1:79,b1:30,5" + i + ":900");
    }

    assertThat(crashingDispatches() - before).isAtMost(MAX_LATE_DISPATCHES);
  }

  @Test
  void shouldNotForgetACrashingPromptPartWhenControlAndAGatewayAreKilled() throws Exception {
    for (int i = 0; i < 6; i++) {
      sendCrashing("a1:79,bad0:30," + i + ":900");
    }
    cluster.restartAllControl();
    cluster.restartGateway("gateway-1");
    cluster.recover();

    for (int i = 100; i < 100 + SENDS; i++) {
      sendCrashing("a1:79,bad0:30," + i + ":900");
      assertServed("a1:79,b1:30,5" + i + ":900");
    }

    assertDispatchesAreBounded();
  }

  @Test
  void shouldRecogniseACrashingPromptPartAfterTheLeaderIsKilled() throws Exception {
    sendCrashing("a1:79,bad0:30,1:900");
    sendCrashing("a1:79,bad0:30,2:900");
    cluster.killLeader();

    for (int i = 100; i < 100 + SENDS; i++) {
      sendCrashing("a1:79,bad0:30," + i + ":900");
      assertServed("a1:79,b1:30,5" + i + ":900");
    }

    assertDispatchesAreBounded();
  }

  @Test
  void shouldServeGenerationsWithAPartThatRanBesideTheCrashingOne() throws Exception {
    for (int round = 0; round < 4; round++) {
      List<CompletableFuture<String>> held = holdOnEveryEngine(round);
      for (CrashingUpstream engine : cluster.upstreams("llm").subList(0, 2)) {
        engine.crash();
      }
      cluster.upstreams("llm").forEach(CrashingUpstream::releaseHeld);
      held.forEach(CompletableFuture::join);
      cluster.recover();
    }

    for (String gateway : cluster.gateways()) {
      assertServed(gateway, "a1:79,d1:30,5:900");
    }
  }

  /** Sends generations that share two parts until one runs on every engine. */
  private List<CompletableFuture<String>> holdOnEveryEngine(int round) {
    List<CompletableFuture<String>> held = new ArrayList<>();
    cluster.upstreams("llm").forEach(CrashingUpstream::hold);
    PlatformFixture.await(
        "a generation to run on every engine",
        () -> {
          String prompt = "a1:79,d1:30,e" + round + held.size() + ":900";
          String gateway = nextGateway();
          held.add(
              CompletableFuture.supplyAsync(
                  () -> callUnchecked(gateway, "/plan/held-" + prompt.hashCode(), prompt)));
          return cluster.upstreams("llm").stream().allMatch(each -> each.heldRequests() > 0);
        });
    return held;
  }

  /** Sends a generation with the crashing part through the next gateway; returns the answer. */
  private String sendCrashing(String prompt) throws Exception {
    String answer = sendUnchecked(prompt);
    cluster.recover();
    return answer;
  }

  private String sendUnchecked(String prompt) {
    return callUnchecked(nextGateway(), "/plan/" + prompt.hashCode(), prompt);
  }

  private String callUnchecked(String gateway, String path, String prompt) {
    try {
      return cluster.callWithPrompt(gateway, "c-" + prompt.hashCode(), path, prompt);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private synchronized String nextGateway() {
    return cluster.gateways().get(calls++ % cluster.gateways().size());
  }

  private void assertServed(String prompt) {
    assertServed(nextGateway(), prompt);
  }

  private void assertServed(String gateway, String prompt) {
    assertWithMessage("%s at %s", prompt, gateway)
        .that(callUnchecked(gateway, "/plan/" + prompt.hashCode(), prompt))
        .startsWith("HTTP/1.1 200 ");
  }

  private void assertDispatchesAreBounded() {
    assertThat(crashingDispatches()).isAtLeast(1L);
    assertThat(crashingDispatches()).isAtMost((long) MAX_CRASHES + MAX_LATE_DISPATCHES);
  }

  private long crashingDispatches() {
    return cluster.upstreams("llm").stream()
        .flatMap(engine -> engine.prompts.stream())
        .filter(prompt -> prompt.contains(CrashingUpstream.CRASHING_PART))
        .count();
  }
}
