package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Upstreams name a limit on the requests that they accept from all gateways together. */
@Tag("process")
class RequestRateLimitTest {
  private static final Duration WINDOW = Duration.ofSeconds(4);

  /** Time from the first answer that names a limit until the limit has to hold. */
  private static final Duration SPREAD_TIME = Duration.ofSeconds(3);

  private static final Duration LOAD_TIME = Duration.ofSeconds(9);
  private static final int REQUESTS_PER_SECOND = 40;
  private static final double OVERSHOOT = 1.5;
  private static final int SLACK = 5;

  @TempDir Path folder;
  private final ScheduledExecutorService callers = Executors.newScheduledThreadPool(40);
  private GatewayCluster cluster;
  private int calls;

  @BeforeEach
  void start() throws Exception {
    cluster = GatewayCluster.start(folder, 3);
  }

  @AfterEach
  void stop() throws Exception {
    callers.shutdownNow();
    cluster.close();
  }

  @Test
  void shouldKeepTheLimitsOfSomeUpstreamsOverAllGateways() throws Exception {
    List<CrashingUpstream> shops = cluster.upstreams("shop");
    shops.get(0).extraHeaders = "Server-Limit: 2.4\n";
    shops.get(1).extraHeaders = "Server-Limit: 3.5\n";

    List<String> answers = sendLoad("GET", "/read/");

    assertLimitHolds(shops.get(0), 2.4);
    assertLimitHolds(shops.get(1), 3.5);
    assertUsed(shops.get(0), 2.4);
    assertUsed(shops.get(1), 3.5);
    for (String answer : answers) {
      assertThat(answer).startsWith("HTTP/1.1 200 ");
    }
  }

  @Test
  void shouldRefuseAtOnceWhatUpstreamsWithLimitsCannotTake() throws Exception {
    List<CrashingUpstream> shops = cluster.upstreams("shop");
    shops.forEach(shop -> shop.extraHeaders = "Server-Limit: 3\n");

    List<String> answers = sendLoad("POST", "/order/");

    for (CrashingUpstream shop : shops) {
      assertLimitHolds(shop, 3);
      assertUsed(shop, 3);
    }
    List<String> refused =
        answers.stream().filter(answer -> !answer.startsWith("HTTP/1.1 200 ")).toList();
    assertThat(refused).isNotEmpty();
    for (String answer : refused) {
      assertThat(answer).startsWith("HTTP/1.1 503 ");
      assertThat(answer).containsMatch("Retry-After: [0-9.]+");
    }
  }

  @Test
  void shouldKeepTheLimitsOfEnginesOverAllGateways() throws Exception {
    List<CrashingUpstream> engines = cluster.upstreams("llm");
    engines.get(0).extraHeaders = "Server-Limit: 2\n";

    List<String> answers = sendLoad("POST", "/plan/");

    assertLimitHolds(engines.get(0), 2);
    assertUsed(engines.get(0), 2);
    for (String answer : answers) {
      assertThat(answer).startsWith("HTTP/1.1 200 ");
    }
  }

  @Test
  void shouldSendFreelyAgainOnceALimitHasEnded() throws Exception {
    CrashingUpstream shop = cluster.upstreams("shop").get(0);
    shop.extraHeaders = "Server-Limit: 2\n";
    sendLoad("GET", "/read/");
    shop.extraHeaders = "";
    sendLoad("GET", "/read/");
    int before = shop.arrivalNanos.size();

    sendLoad("GET", "/read/");

    double share = REQUESTS_PER_SECOND * LOAD_TIME.toSeconds() / 4.0;
    assertThat((double) (shop.arrivalNanos.size() - before)).isAtLeast(share / 2);
  }

  /**
   * Sends requests at a constant rate, seven in ten through the first gateway, and returns the
   * answers.
   */
  private List<String> sendLoad(String method, String pathPrefix) {
    List<CompletableFuture<String>> answers = new ArrayList<>();
    long intervalMicros = TimeUnit.SECONDS.toMicros(1) / REQUESTS_PER_SECOND;
    long count = REQUESTS_PER_SECOND * LOAD_TIME.toSeconds();
    for (int i = 0; i < count; i++) {
      int call = calls++;
      String gateway = cluster.gateways().get(call % 10 < 7 ? 0 : 1 + call % 2);
      CompletableFuture<String> answer = new CompletableFuture<>();
      answers.add(answer);
      callers.schedule(
          () -> answer.complete(call(gateway, method, pathPrefix + call)),
          i * intervalMicros,
          TimeUnit.MICROSECONDS);
    }
    return answers.stream().map(CompletableFuture::join).toList();
  }

  private String call(String gateway, String method, String path) {
    try {
      return cluster.call(gateway, "c-" + path.hashCode(), method, path);
    } catch (Exception e) {
      return "failed: " + e;
    }
  }

  private static void assertLimitHolds(CrashingUpstream upstream, double requestsPerSecond) {
    List<Long> arrivals = new ArrayList<>(upstream.arrivalNanos);
    long fromNanos = arrivals.get(0) + SPREAD_TIME.toNanos();
    List<Long> counted = arrivals.stream().filter(each -> each >= fromNanos).toList();
    int most = 0;
    for (int first = 0, last = 0; last < counted.size(); last++) {
      while (counted.get(last) - counted.get(first) > WINDOW.toNanos()) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    assertWithMessage("most requests in %s at %s", WINDOW, upstream.id())
        .that((double) most)
        .isAtMost(OVERSHOOT * requestsPerSecond * WINDOW.toSeconds() + SLACK);
  }

  /** Asserts that an upstream got at least half of what its limit allows. */
  private static void assertUsed(CrashingUpstream upstream, double requestsPerSecond) {
    assertWithMessage("requests at %s", upstream.id())
        .that((double) upstream.arrivalNanos.size())
        .isAtLeast(requestsPerSecond * LOAD_TIME.toSeconds() / 2);
  }
}
