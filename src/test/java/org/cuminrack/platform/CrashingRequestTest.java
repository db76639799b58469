package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;

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

/** Callers repeat a request that crashes every upstream that runs it, through every gateway. */
@Tag("process")
class CrashingRequestTest {
  private static final int SENDS = 9;

  /** Dispatches that are allowed after three upstreams have crashed. */
  private static final int MAX_LATE_DISPATCHES = 3;

  @TempDir Path folder;
  private GatewayCluster cluster;

  @BeforeEach
  void start() throws Exception {
    cluster = GatewayCluster.start(folder, 3);
  }

  @AfterEach
  void stop() throws Exception {
    cluster.close();
  }

  @Test
  void shouldStopSendingAnIdempotentRequestThatCrashesUpstreams() throws Exception {
    sendThroughAllGateways("GET", "/read/crash", SENDS);

    assertDispatchesAreBounded("shop");
    assertThat(callFirstGateway("GET", "/read/crash")).startsWith("HTTP/1.1 503 ");
    assertThat(callFirstGateway("GET", "/read/crash")).containsMatch("Retry-After: [0-9.]+");
    assertThat(callFirstGateway("GET", "/read/other")).startsWith("HTTP/1.1 200 ");
    cluster.assertAllRunning();
  }

  @Test
  void shouldStopSendingANonIdempotentRequestThatCrashesUpstreams() throws Exception {
    sendThroughAllGateways("POST", "/order/crash", SENDS);

    assertDispatchesAreBounded("shop");
  }

  @Test
  void shouldStopSendingAGenerationThatCrashesEngines() throws Exception {
    sendThroughAllGateways("POST", "/plan/crash", SENDS);

    assertDispatchesAreBounded("llm");
    assertThat(callFirstGateway("POST", "/plan/other")).startsWith("HTTP/1.1 200 ");
  }

  @Test
  void shouldStopSendingAnOrderThatEndsUpstreamsInTheMiddleOfAnUnframedResponse() throws Exception {
    sendThroughAllGateways("POST", "/order/unframed-midway-end-crash", SENDS);

    assertDispatchesAreBounded("shop");
  }

  @Test
  void shouldStopSendingAGenerationThatEndsEnginesInTheMiddleOfAnUnframedResponse()
      throws Exception {
    sendThroughAllGateways("POST", "/plan/unframed-midway-end-crash", SENDS);

    assertDispatchesAreBounded("llm");
  }

  @Test
  void shouldStopSendingAnOrderWhoseUpstreamsStillAcceptAConnectionAsTheyEnd() throws Exception {
    sendThroughAllGateways("POST", "/order/unframed-midway-linger-crash", SENDS);

    assertDispatchesAreBounded("shop");
  }

  @Test
  void shouldNotForgetACrashingRequestWhenControlAndAGatewayAreKilled() throws Exception {
    sendThroughAllGateways("POST", "/order/crash", 6);
    cluster.restartAllControl();
    cluster.restartGateway("gateway-1");
    cluster.recover();

    sendThroughAllGateways("POST", "/order/crash", SENDS);

    assertDispatchesAreBounded("shop");
  }

  @Test
  void shouldRecogniseACrashingRequestAfterTheLeaderIsKilled() throws Exception {
    sendThroughAllGateways("POST", "/order/crash", 2);
    cluster.killLeader();

    sendThroughAllGateways("POST", "/order/crash", SENDS);

    assertDispatchesAreBounded("shop");
  }

  @Test
  void shouldNotRetryARequestBeforeItsThirdCrashIsCounted() throws Exception {
    sendThroughAllGateways("GET", "/read/crash", 2);

    assertThat(crashingDispatches("shop")).isEqualTo(3);
  }

  @Test
  void shouldSendARequestOnTrialToOneUpstream() throws Exception {
    sendThroughAllGateways("GET", "/read/crash", 3);
    long before = crashingDispatches("shop");

    PlatformFixture.await(
        "a trial",
        () -> {
          callFirstGateway("GET", "/read/crash");
          return crashingDispatches("shop") > before;
        });
    cluster.recover();

    assertThat(crashingDispatches("shop")).isEqualTo(before + 1);
  }

  @Test
  void shouldStopSendingARequestThatCrashedSeveralUpstreamsAtOnce() throws Exception {
    List<CompletableFuture<String>> held = holdOnEveryUpstream(0, "POST", "/order/held-crash");
    cluster.upstreams("shop").forEach(CrashingUpstream::releaseHeld);
    held.forEach(CompletableFuture::join);
    cluster.recover();
    long before = crashingDispatches("shop");

    for (int wave = 0; wave < 3; wave++) {
      sendAtOnce(4, "POST", "/order/held-crash");
    }

    assertThat(crashingDispatches("shop") - before).isAtMost(MAX_LATE_DISPATCHES);
    cluster.assertAllRunning();
  }

  @Test
  void shouldServeARequestThatRanBesideACrashingOne() throws Exception {
    for (int round = 0; round < 4; round++) {
      List<CompletableFuture<String>> held = holdOnEveryUpstream(round, "GET", "/read/held");
      for (CrashingUpstream shop : cluster.upstreams("shop").subList(0, 2)) {
        shop.crash();
      }
      cluster.upstreams("shop").forEach(CrashingUpstream::releaseHeld);
      held.forEach(CompletableFuture::join);
      cluster.recover();
    }

    assertEveryGatewayServes("/read/held");
  }

  @Test
  void shouldServeARequestThatRanOnEveryUpstreamWhenAllCrashedAtOnce() throws Exception {
    List<CompletableFuture<String>> held = holdOnEveryUpstream(0, "GET", "/read/held");
    for (CrashingUpstream shop : cluster.upstreams("shop")) {
      shop.crash();
    }
    held.forEach(CompletableFuture::join);
    cluster.recover();

    assertEveryGatewayServes("/read/held");
  }

  @Test
  void shouldServeARequestSoonAfterItsTrialFoundNoUpstream() throws Exception {
    List<CompletableFuture<String>> held = holdOnEveryUpstream(0, "GET", "/read/held");
    for (CrashingUpstream shop : cluster.upstreams("shop")) {
      shop.crash();
    }
    held.forEach(CompletableFuture::join);
    callFirstGateway("GET", "/read/held");
    cluster.recover();

    assertEveryGatewayServes("/read/held");
  }

  private void sendThroughAllGateways(String method, String path, int count) throws Exception {
    for (int i = 0; i < count; i++) {
      String gateway = cluster.gateways().get(i % cluster.gateways().size());
      cluster.call(gateway, "c-" + i, method, path);
      cluster.recover();
    }
  }

  private void assertDispatchesAreBounded(String service) {
    assertThat(crashingDispatches(service)).isAtLeast(3L);
    assertThat(crashingDispatches(service)).isAtMost(3L + MAX_LATE_DISPATCHES);
  }

  private long crashingDispatches(String service) {
    return cluster.upstreams(service).stream()
        .flatMap(upstream -> upstream.paths.stream())
        .filter(path -> path.contains("crash"))
        .count();
  }

  /** Sends requests of equal content so that all that are sent on run at the same time. */
  private void sendAtOnce(int count, String method, String path) throws Exception {
    cluster.upstreams("shop").forEach(CrashingUpstream::hold);
    ExecutorService callers = Executors.newFixedThreadPool(count);
    try {
      List<CompletableFuture<String>> answers = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        String gateway = cluster.gateways().get(i % cluster.gateways().size());
        String id = "w-" + i;
        answers.add(
            CompletableFuture.supplyAsync(() -> callUnchecked(gateway, id, method, path), callers));
      }
      PlatformFixture.await(
          "each request to run or to be answered",
          () ->
              heldRequests() + answers.stream().filter(CompletableFuture::isDone).count() >= count);
      cluster.upstreams("shop").forEach(CrashingUpstream::releaseHeld);
      answers.forEach(CompletableFuture::join);
    } finally {
      callers.shutdownNow();
    }
    cluster.recover();
  }

  private int heldRequests() {
    return cluster.upstreams("shop").stream().mapToInt(CrashingUpstream::heldRequests).sum();
  }

  /** Sends requests of equal content until one runs on every upstream of the shop. */
  private List<CompletableFuture<String>> holdOnEveryUpstream(
      int round, String method, String path) {
    List<CompletableFuture<String>> held = new ArrayList<>();
    int[] sent = {0};
    cluster.upstreams("shop").forEach(CrashingUpstream::hold);
    PlatformFixture.await(
        "a request to run on every upstream",
        () -> {
          String gateway = cluster.gateways().get(sent[0] % cluster.gateways().size());
          String id = "h-" + round + "-" + sent[0]++;
          held.add(CompletableFuture.supplyAsync(() -> callUnchecked(gateway, id, method, path)));
          return cluster.upstreams("shop").stream().allMatch(each -> each.heldRequests() > 0);
        });
    return held;
  }

  private String callUnchecked(String gateway, String id, String method, String path) {
    try {
      return cluster.call(gateway, id, method, path);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private String callFirstGateway(String method, String path) throws Exception {
    return cluster.call("gateway-1", "a-1", method, path);
  }

  private void assertEveryGatewayServes(String path) throws Exception {
    for (String gateway : cluster.gateways()) {
      assertThat(cluster.call(gateway, "a-1", "GET", path)).startsWith("HTTP/1.1 200 ");
    }
  }
}
