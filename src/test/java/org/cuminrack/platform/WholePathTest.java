package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The whole path with real control and gateway, and the platform's side written by hand. */
class WholePathTest {
  private static final String KEY = "Authorization: Bearer key-1";
  private static final String DOCUMENT =
      """
      {"version":%d,"routes":[
       {"name":"read","host":"shop.example","path-prefix":"/read/","kind":"safe","timeout-ms":1000,
        "target-latency-ms":200,"priority":2,"service":"shop","max-attempts":2,"public":false},
       {"name":"order","host":"shop.example","path-prefix":"/order/","kind":"unsafe",
        "timeout-ms":1000,"target-latency-ms":200,"priority":2,"service":"shop","max-attempts":1,
        "public":false},
       {"name":"plan","host":"shop.example","path-prefix":"/plan/","kind":"streaming",
        "timeout-ms":20000,"target-latency-ms":1800,"priority":1,"service":"llm",
        "max-attempts":1,"public":false}],
       "services":[{"name":"shop","health-path":"/health","max-conns":96},
        {"name":"llm","health-path":"/health","max-conns":222,"engine":{"slots":24,
         "kv-capacity-tokens":34000,"stride":4,"backups":true,"moves":true}}],
       "tenants":[{"name":"org-1","api-keys":["key-1"],"priority":1}]}""";

  @TempDir Path folder;
  private PlatformFixture platform;

  @BeforeEach
  void start() throws Exception {
    platform = new PlatformFixture(folder);
    platform.acknowledged("POST", "/config/replace", DOCUMENT.formatted(3));
    PlatformFixture.await(
        "the gateway to be ready",
        () -> platform.statusOf(platform.readyPort(), "/cuminrack/ready") == 200);
  }

  @AfterEach
  void stop() throws Exception {
    platform.close();
  }

  @Test
  void shouldTellCallersWhereTheGatewayIs() {
    PlatformFixture.await(
        "the directory to name the gateway",
        () -> platform.directory().contains("\"" + platform.callerAddress() + "\""));
  }

  @Test
  void shouldPassAWholeAnswerOn() throws Exception {
    FakeServer shop = platform.server();
    announceAndAwait("i-1", "shop", shop, "dc-a", "/read/warm");

    String answer = platform.call("a-1", "GET", "/read/x?y=1", KEY, "Tenant: forged");

    assertThat(answer).startsWith("HTTP/1.1 200 ");
    assertThat(answer).containsMatch("(?i)Server-Seal: seal-a-1");
    assertThat(answer).endsWith("whole answer");
    String sent = shop.requests.get(shop.requests.size() - 1);
    assertThat(sent).contains("GET /read/x?y=1 ");
    assertThat(sent).contains("Tenant=org-1 ");
    assertThat(sent).contains("Expect-instance=i-1 ");
    assertThat(sent).doesNotContain("key-1");
  }

  @Test
  void shouldSendASafeRequestToAnotherServerWhereOneFails() throws Exception {
    FakeServer failing = platform.server().answering(WholePathTest::fail);
    FakeServer good = platform.server();
    announceAndAwait("i-2", "shop", good, "dc-a", "/read/warm");
    platform.announce("i-1", "shop", failing, "dc-a", "ready", 1);

    for (int i = 0; i < 6; i++) {
      assertThat(platform.call("r-" + i, "GET", "/read/x", KEY)).startsWith("HTTP/1.1 200 ");
    }
  }

  @Test
  void shouldSendAnOrderOnce() throws Exception {
    FakeServer failing = platform.server().answering(WholePathTest::fail);
    announceAndAwait("i-1", "shop", failing, "dc-a", "/read/warm");
    failing.requests.clear();

    assertThat(platform.call("o-1", "POST", "/order/x", KEY)).startsWith("HTTP/1.1 500 ");

    assertThat(failing.requests).hasSize(1);
  }

  @Test
  void shouldRefuseAnUnknownKeyAndAnUnknownPath() throws Exception {
    assertThat(platform.call("a-1", "GET", "/read/x", "Authorization: Bearer none"))
        .startsWith("HTTP/1.1 401 ");
    assertThat(platform.call("a-2", "GET", "/none/x", KEY)).startsWith("HTTP/1.1 404 ");
  }

  @Test
  void shouldSayThatNothingHasRunWhereThereIsNoServer() throws Exception {
    String answer = platform.call("a-1", "POST", "/order/x", KEY);

    assertThat(answer).startsWith("HTTP/1.1 503 ");
    assertThat(answer).contains("Retry-After: 0.1");
  }

  @Test
  void shouldGoOnFromTheCopyWhereAnEngineIsLost() throws Exception {
    CountDownLatch cut = new CountDownLatch(1);
    List<FakeServer> engines = twoEngines(cut);

    CompletableFuture<String> stream = startPlan();
    cutOnceSent(engines, cut);

    assertThat(ids(stream.get())).containsExactly("1", "2", "3", "4").inOrder();
    assertThat(requestsOf(engines, "Kv-from=")).hasSize(1);
    assertThat(requestsOf(engines, "Last-event-id=2 ")).hasSize(1);
  }

  @Test
  void shouldStopALostGenerationBeforeItGoesOn() throws Exception {
    CountDownLatch cut = new CountDownLatch(1);
    List<FakeServer> engines = twoEngines(cut);

    CompletableFuture<String> stream = startPlan();
    cutOnceSent(engines, cut);
    stream.get();

    List<String> stops = requestsOf(engines, "POST /cuminrack/kv-move");
    assertThat(stops).hasSize(1);
    FakeServer lost =
        engines.stream()
            .filter(each -> !requestsOf(List.of(each), "kv-move").isEmpty())
            .findFirst()
            .get();
    assertThat(requestsOf(List.of(lost), "Kv-from=")).isEmpty();
  }

  @Test
  void shouldNotGoOnInAnEvacuatedDataCentre() throws Exception {
    CountDownLatch cut = new CountDownLatch(1);
    List<FakeServer> engines = twoEngines(cut);

    CompletableFuture<String> stream = startPlan();
    PlatformFixture.await("the plan to be sent", () -> !requestsOf(engines, "p-1").isEmpty());
    platform.acknowledged("POST", "/evacuate/dc-a/start", "");
    platform.acknowledged("POST", "/evacuate/dc-b/start", "");
    awaitNothingTaken();
    cut.countDown();

    assertThat(ids(stream.get())).containsExactly("1", "2").inOrder();
    assertThat(stream.get()).doesNotContain("\r\n0\r\n\r\n");
    assertThat(requestsOf(engines, "Kv-from=")).isEmpty();
  }

  @Test
  void shouldMoveAGenerationAwayFromAnEngineThatLeaves() throws Exception {
    CountDownLatch cut = new CountDownLatch(1);
    FakeServer first = platform.server().answering(leavingEngine(cut));
    platform.announce("e-1", "llm", first, "dc-a", "ready", 1);
    awaitUpstreams(1);
    CompletableFuture<String> stream = startPlan();
    PlatformFixture.await(
        "the plan to be sent", () -> !requestsOf(List.of(first), "p-1").isEmpty());
    FakeServer second = platform.server().answering(FakeServer.streaming(3, 4));
    platform.announce("e-2", "llm", second, "dc-b", "ready", 1);
    awaitUpstreams(2);

    platform.announce("e-1", "llm", first, "dc-a", "draining", 2);

    assertThat(ids(stream.get())).containsExactly("1", "2", "3", "4").inOrder();
    assertThat(requestsOf(List.of(first), "POST /cuminrack/kv-move")).hasSize(2);
    assertThat(requestsOf(List.of(second), "Kv-from=" + first.address() + "/copy-7 ")).hasSize(1);
  }

  /** An engine whose stream ends unfinished once its memory was moved for the second time. */
  private static FakeServer.Script leavingEngine(CountDownLatch stopped) {
    return exchange -> {
      if (!exchange.getRequestURI().getPath().equals("/cuminrack/kv-move")) {
        FakeServer.cutAfter(1, 2, stopped).answer(exchange);
        return;
      }
      String body = new String(exchange.getRequestBody().readAllBytes(), UTF_8);
      if (body.contains("last")) {
        stopped.countDown();
      }
      byte[] answer = "{\"handle\":\"copy-7\",\"made\":2}".getBytes(UTF_8);
      exchange.sendResponseHeaders(200, answer.length);
      exchange.getResponseBody().write(answer);
      exchange.close();
    };
  }

  @Test
  void shouldSendNothingToADrainingServer() throws Exception {
    FakeServer shop = platform.server();
    announceAndAwait("i-1", "shop", shop, "dc-a", "/read/warm");

    platform.announce("i-1", "shop", shop, "dc-a", "draining", 2);

    PlatformFixture.await(
        "the gateway to leave the server out",
        () -> platform.call("d-1", "GET", "/read/x", KEY).startsWith("HTTP/1.1 503 "));
  }

  @Test
  void shouldKeepTheHighestVersion() throws Exception {
    String newer = DOCUMENT.formatted(9);
    platform.acknowledged("POST", "/config/replace", newer);

    HttpResponse<String> older =
        platform.operator("POST", "/config/replace", DOCUMENT.formatted(4));
    HttpResponse<String> other =
        platform.operator("POST", "/config/replace", newer.replace("/read/", "/reading/"));
    HttpResponse<String> invalid =
        platform.operator("POST", "/config/replace", newer.substring(0, 100));

    assertThat(older.statusCode()).isEqualTo(200);
    assertThat(other.statusCode()).isEqualTo(409);
    assertThat(invalid.statusCode()).isEqualTo(400);
    assertThat(platform.operator("GET", "/config/get", "").body()).isEqualTo(newer);
  }

  private List<FakeServer> twoEngines(CountDownLatch cut) throws Exception {
    FakeServer first = platform.server();
    FakeServer second = platform.server();
    for (FakeServer each : List.of(first, second)) {
      each.answering(
          exchange -> {
            boolean resumed = exchange.getRequestHeaders().containsKey("Kv-From");
            FakeServer.Script script =
                resumed ? FakeServer.streaming(3, 4) : FakeServer.cutAfter(1, 2, cut);
            script.answer(exchange);
          });
    }
    platform.announce("e-1", "llm", first, "dc-a", "ready", 1);
    platform.announce("e-2", "llm", second, "dc-b", "ready", 1);
    awaitUpstreams(2);
    return List.of(first, second);
  }

  private void awaitUpstreams(int count) {
    PlatformFixture.await(
        "the gateway to know " + count + " upstreams",
        () -> platform.dump().split("\"id\"", -1).length - 1 >= count);
  }

  private void awaitNothingTaken() {
    PlatformFixture.await(
        "both evacuations to be in force",
        () -> platform.call("q-1", "POST", "/plan/y", KEY).startsWith("HTTP/1.1 503 "));
  }

  private CompletableFuture<String> startPlan() {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return platform.call("p-1", "POST", "/plan/x", KEY, "Token-Counts: 900,400");
          } catch (Exception e) {
            throw new AssertionError("the plan's connection", e);
          }
        });
  }

  private static void cutOnceSent(List<FakeServer> engines, CountDownLatch cut) {
    PlatformFixture.await("the plan to be sent", () -> !requestsOf(engines, "p-1").isEmpty());
    cut.countDown();
  }

  private void announceAndAwait(
      String id, String service, FakeServer server, String zone, String path) {
    platform.announce(id, service, server, zone, "ready", 1);
    PlatformFixture.await(
        "the gateway to know " + id,
        () -> !platform.call("w-1", "GET", path, KEY).startsWith("HTTP/1.1 503 "));
  }

  private static List<String> requestsOf(List<FakeServer> servers, String part) {
    return servers.stream()
        .flatMap(each -> each.requests.stream())
        .filter(each -> each.contains(part))
        .toList();
  }

  private static List<String> ids(String answer) {
    return answer
        .lines()
        .filter(each -> each.startsWith("id: "))
        .map(each -> each.substring("id: ".length()))
        .toList();
  }

  private static void fail(com.sun.net.httpserver.HttpExchange exchange)
      throws java.io.IOException {
    exchange.getRequestBody().readAllBytes();
    exchange.sendResponseHeaders(500, -1);
    exchange.close();
  }
}
