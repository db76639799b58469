package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Splitter;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Two upstreams of a version and two of the next one, behind a gateway under load. */
class RolloutTest {
  private static final String ORDER = "{\"service\":\"shop\",\"to\":\"v2\",\"duration-s\":4}";
  private static final long PAUSE_MILLIS = 10;

  @TempDir Path folder;
  private final AtomicInteger calls = new AtomicInteger();
  private PlatformFixture platform;
  private List<FakeUpstream> former;
  private List<FakeUpstream> next;
  private volatile boolean stopped;
  private volatile String path = "GET /read/";
  private CompletableFuture<Void> load;

  @BeforeEach
  void start() throws Exception {
    platform = PlatformFixture.start(folder);
    former = List.of(platform.startUpstream(), platform.startUpstream());
    next = List.of(platform.startUpstream(), platform.startUpstream());
    for (int i = 0; i < former.size(); i++) {
      platform.announceVersion("old-" + i, "shop", former.get(i).address(), "v1");
      platform.announceVersion("new-" + i, "shop", next.get(i).address(), "v2");
    }
    load = CompletableFuture.runAsync(this::callUntilStopped);
  }

  @AfterEach
  void stop() throws Exception {
    stopped = true;
    load.join();
    platform.close();
  }

  private void callUntilStopped() {
    try {
      while (!stopped) {
        int call = calls.incrementAndGet();
        List<String> methodAndPath = Splitter.on(' ').splitToList(path);
        platform.call(
            "c-" + call,
            methodAndPath.get(0),
            methodAndPath.get(1) + call,
            PlatformFixture.KEY,
            "Token-Counts: 900,40");
        Thread.sleep(PAUSE_MILLIS);
      }
    } catch (IOException e) {
      throw new AssertionError("expected an answer", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void shouldReplaceTheFormerVersionByAGoodOne() throws Exception {
    assertThat(order(ORDER)).isEqualTo(200);
    assertThat(state()).isEqualTo("{\"state\":\"running\",\"to\":\"v2\"}");

    awaitState("done");

    awaitNoRequests(former);
    assertThat(received(next)).isGreaterThan(0);
  }

  @Test
  void shouldRollBackABadVersion() throws Exception {
    int callsBefore = calls.get();
    int receivedBefore = received(next);
    next.forEach(upstream -> upstream.withScript(RolloutTest::fail));
    assertThat(order(ORDER)).isEqualTo(200);

    awaitState("rolled_back");

    awaitNoRequests(next);
    assertThat(received(next) - receivedBefore).isAtMost(50 + (calls.get() - callsBefore) / 10);
  }

  @Test
  void shouldRollBackAnEngineThatBreaksStreamsOff() throws Exception {
    FakeUpstream formerEngine = platform.startUpstream().withScript(FakeUpstream.streaming(1, 4));
    FakeUpstream nextEngine =
        platform
            .startUpstream()
            .withScript(FakeUpstream.dropConnectionAfter(1, 2, new CountDownLatch(0)));
    platform.announceVersion("old-engine", "llm", formerEngine.address(), "v1");
    platform.announceVersion("new-engine", "llm", nextEngine.address(), "v2");
    path = "POST /plan/";
    assertThat(order(ORDER.replace("shop", "llm"))).isEqualTo(200);

    PlatformFixture.await(
        "the state rolled_back",
        () ->
            platform.callAsOperator("GET", "/rollouts/llm/get", "").body().contains("rolled_back"));

    awaitNoRequests(List.of(nextEngine));
  }

  @Test
  void shouldAcknowledgeARepeatedOrderAndRejectAnotherOne() throws Exception {
    assertThat(order(ORDER)).isEqualTo(200);

    assertThat(order(ORDER)).isEqualTo(200);
    assertThat(order(ORDER.replace("v2", "v3"))).isEqualTo(409);
    assertThat(state()).isEqualTo("{\"state\":\"running\",\"to\":\"v2\"}");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"service\":\"none\",\"to\":\"v2\",\"duration-s\":4}",
        "{\"service\":\"shop\",\"to\":\"\",\"duration-s\":4}",
        "{\"service\":\"shop\",\"to\":\"v2\",\"duration-s\":0}",
        "{\"service\":\"shop\",\"to\":\"v2\",\"duration-s\":-3}",
        "{\"service\":\"shop\",\"to\":\"v2\",\"duration-s\":\"4\"}",
        "{\"service\":\"shop\",\"to\":\"v2\"}",
        "{\"service\":\"shop\",\"duration-s\":4}",
        "[]",
        ""
      })
  void shouldRefuseAnInvalidOrder(String invalid) throws Exception {
    assertThat(order(invalid)).isEqualTo(400);

    assertThat(platform.callAsOperator("GET", "/rollouts/shop/get", "").statusCode())
        .isEqualTo(404);
  }

  @Test
  void shouldRefuseTheVersionInUse() throws Exception {
    platform.announceVersion("engine-1", "llm", former.get(0).address(), "v2");

    assertThat(order(ORDER.replace("shop", "llm"))).isEqualTo(400);
  }

  private static void fail(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    exchange.sendResponseHeaders(500, -1);
    exchange.close();
  }

  private int order(String body) throws Exception {
    return platform.callAsOperator("POST", "/rollouts/start", body).statusCode();
  }

  private String state() throws Exception {
    return platform.callAsOperator("GET", "/rollouts/shop/get", "").body();
  }

  private void awaitState(String expected) {
    PlatformFixture.await(
        "the state " + expected, () -> state().contains("\"state\":\"" + expected + "\""));
  }

  /** Waits until a hundred calls in a row have reached none of these upstreams. */
  private void awaitNoRequests(List<FakeUpstream> upstreams) {
    PlatformFixture.await(
        "no requests to upstreams out of use",
        () -> {
          int before = received(upstreams);
          int callsBefore = calls.get();
          PlatformFixture.await("calls", () -> calls.get() >= callsBefore + 100);
          return received(upstreams) == before;
        });
  }

  private static int received(List<FakeUpstream> upstreams) {
    return upstreams.stream().mapToInt(upstream -> upstream.requests.size()).sum();
  }
}
