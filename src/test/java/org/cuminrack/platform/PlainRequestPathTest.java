package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.cuminrack.platform.PlatformFixture.DOCUMENT;
import static org.cuminrack.platform.PlatformFixture.KEY;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.cuminrack.system.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * End-to-end tests of plain requests with a real control process and gateway and a simulated
 * platform.
 */
class PlainRequestPathTest {
  @TempDir Path folder;
  private PlatformFixture platform;

  @BeforeEach
  void start() throws Exception {
    platform = PlatformFixture.start(folder);
  }

  @AfterEach
  void stop() throws Exception {
    platform.close();
  }

  @Test
  void shouldListTheGatewayInTheDirectory() {
    PlatformFixture.await(
        "the directory to list the gateway",
        () -> platform.lookUpGateways().contains("\"" + platform.callerAddress() + "\""));
  }

  @Test
  void shouldKeepAnUpstreamAtWhoseAddressAnUnknownServiceIsAnnounced() throws Exception {
    FakeUpstream shop = platform.startUpstream();
    announceAndAwait("i-1", "shop", shop, "dc-a", "/read/warm");

    List<Integer> statuses = new ArrayList<>();
    for (String id : List.of("i-1", "i-9")) {
      statuses.add(
          platform
              .callAsOperator(
                  "POST",
                  "/instances/" + id + "/heartbeat",
                  """
                  {"service":"no-service","address":"%s","zone":"dc-a","version":"v1","slots":6,
                   "state":"ready","cold-left-ms":0,"call-seq":9,"born":1786843519999}"""
                      .formatted(shop.address()))
              .statusCode());
    }

    platform.announce("i-1", "shop", shop, "dc-a", "ready", 2);
    assertThat(platform.call("a-1", "GET", "/read/x", KEY)).startsWith("HTTP/1.1 200 ");
    assertThat(statuses).containsExactly(400, 400);
  }

  @Test
  void shouldLetAnUpstreamLeaveWhoseServiceIsNotNamedAnyMore() throws Exception {
    FakeUpstream shop = platform.startUpstream();
    announceAndAwait("i-1", "shop", shop, "dc-a", "/read/warm");
    String withoutShop =
        """
        {"version":4,"routes":[],"services":[{"name":"llm","health-path":"/health"}],
         "tenants":[]}""";
    platform.callUntilAcknowledged("POST", "/config/replace", withoutShop);

    platform.announce("i-1", "shop", shop, "dc-a", "draining", 2);
    platform.callUntilAcknowledged("POST", "/instances/i-1/leave", "");
  }

  @Test
  void shouldForwardAPlainResponse() throws Exception {
    FakeUpstream shop = platform.startUpstream();
    announceAndAwait("i-1", "shop", shop, "dc-a", "/read/warm");

    String response = platform.call("a-1", "GET", "/read/x?y=1", KEY, "Tenant: forged");

    assertThat(response).startsWith("HTTP/1.1 200 ");
    assertThat(response).containsMatch("(?i)Server-Seal: seal-a-1");
    assertThat(response).endsWith("whole answer");
    String sent = shop.requests.get(shop.requests.size() - 1);
    assertThat(sent).contains("GET /read/x?y=1 ");
    assertThat(sent).contains("Tenant=org-1 ");
    assertThat(sent).contains("Expect-instance=i-1 ");
    assertThat(sent).doesNotContain("key-1");
  }

  /** Guards against requests with revoked or unknown keys that run once no key is left. */
  @Test
  void shouldRefuseAllKeysOnceTheLastOneIsRevoked() throws Exception {
    FakeUpstream shop = platform.startUpstream();
    announceAndAwait("i-1", "shop", shop, "dc-a", "/read/warm");
    String withoutKeys = DOCUMENT.formatted(4).replace("[\"key-1\"]", "[]");
    platform.callUntilAcknowledged("POST", "/config/replace", withoutKeys);

    PlatformFixture.await(
        "the revocation to be in force",
        () -> platform.call("k-1", "GET", "/read/x", KEY).startsWith("HTTP/1.1 401 "));
    assertThat(platform.call("k-2", "GET", "/read/x", "Authorization: Bearer never-a-key"))
        .startsWith("HTTP/1.1 401 ");
    assertThat(platform.call("k-3", "GET", "/read/x")).startsWith("HTTP/1.1 401 ");
  }

  @Test
  void shouldServeCallersWithoutAKeyIfTheDocumentContainsNoTenants() throws Exception {
    FakeUpstream shop = platform.startUpstream();
    announceAndAwait("i-1", "shop", shop, "dc-a", "/read/warm");
    String withoutTenants = DOCUMENT.formatted(4).replace("\"tenants\":", "\"ignored\":");
    platform.callUntilAcknowledged("POST", "/config/replace", withoutTenants);

    PlatformFixture.await(
        "the document to be in force",
        () -> platform.call("k-1", "GET", "/read/x").startsWith("HTTP/1.1 200 "));
  }

  /** One upstream takes 18 requests at a time; more than those wait at the gateway. */
  @Test
  void shouldServeABurstThatExceedsThePlacesOfTheUpstream() throws Exception {
    CountDownLatch full = new CountDownLatch(18);
    FakeUpstream shop = platform.startUpstream();
    announceAndAwait("i-1", "shop", shop, "dc-a", "/read/warm");
    shop.withScript(
        exchange -> {
          full.countDown();
          full.await();
          FakeUpstream.sendPlainBody(exchange);
        });

    ExecutorService callers = Executors.newFixedThreadPool(30);
    List<Future<String>> answers = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      String id = "burst-" + i;
      answers.add(callers.submit(() -> platform.call(id, "GET", "/read/x", KEY)));
    }

    for (Future<String> answer : answers) {
      assertThat(answer.get()).startsWith("HTTP/1.1 200 ");
    }
    callers.shutdown();
  }

  @Test
  void shouldRetryAnIdempotentRequestOnAnotherUpstream() throws Exception {
    FakeUpstream failing = platform.startUpstream().withScript(PlainRequestPathTest::fail);
    FakeUpstream good = platform.startUpstream();
    announceAndAwait("i-2", "shop", good, "dc-a", "/read/warm");
    platform.announce("i-1", "shop", failing, "dc-a", "ready", 1);

    for (int i = 0; i < 6; i++) {
      assertThat(platform.call("r-" + i, "GET", "/read/x", KEY)).startsWith("HTTP/1.1 200 ");
    }
  }

  /**
   * In which order a request tries the upstreams is random; in three of ten rounds it tries one
   * that cannot be reached, then the refusing one. The retry budget is enough for ten retries.
   */
  @Test
  void shouldRetryARefusedRequestAfterAnUpstreamThatCannotBeReached() throws Exception {
    FakeUpstream good = platform.startUpstream();
    announceAndAwait("i-0", "shop", good, "dc-a", "/read/warm");
    FakeUpstream refusing = platform.startUpstream().withScript(PlainRequestPathTest::refuse);
    platform.announce("i-1", "shop", refusing, "dc-a", "ready", 1);

    List<String> addresses =
        Stream.generate(() -> "127.0.0.1:" + FreePorts.port()).limit(3).toList();
    for (int round = 0; round < 8; round++) {
      for (int i = 0; i < addresses.size(); i++) {
        announceUnreachable("gone-" + round + i, addresses.get(i), "ready", 2 * round + 1);
      }
      assertThat(platform.call("r-" + round, "GET", "/read/x", KEY)).startsWith("HTTP/1.1 200 ");
      for (int i = 0; i < addresses.size(); i++) {
        announceUnreachable("gone-" + round + i, addresses.get(i), "draining", 2 * round + 2);
      }
    }
  }

  /** Announces an upstream without a process and waits until the gateway knows the announcement. */
  private void announceUnreachable(String id, String address, String state, int sequence) {
    platform.announce(id, "shop", address, "dc-a", state, sequence);
    PlatformFixture.await(
        id + " to be " + state,
        () ->
            platform
                .dump()
                .matches("(?s).*\"" + id + "\"[^}]*\"sequence\"\\s*:\\s*" + sequence + ".*"));
  }

  @Test
  void shouldExportRequestDurationsByOutcome() throws Exception {
    announceAndAwait("i-1", "shop", platform.startUpstream(), "dc-a", "/read/warm");

    platform.call("a-1", "GET", "/read/x", KEY);

    assertThat(platform.metrics())
        .containsMatch(
            "cuminrack_gateway_request_seconds_bucket\\{outcome=\"answered\",le=\"60.0\"\\} [1-9]");
  }

  @Test
  void shouldSendANonIdempotentRequestOnce() throws Exception {
    FakeUpstream failing = platform.startUpstream().withScript(PlainRequestPathTest::fail);
    announceAndAwait("i-1", "shop", failing, "dc-a", "/read/warm");
    failing.requests.clear();

    assertThat(platform.call("o-1", "POST", "/order/x", KEY)).startsWith("HTTP/1.1 500 ");

    assertThat(failing.requests).hasSize(1);
  }

  /** The fixture's gateway has the default budget: 20 retries and a tenth of the requests. */
  @Test
  void shouldTakeRetriesAfterMisdirectedRequestsFromTheBudget() throws Exception {
    FakeUpstream good = platform.startUpstream();
    announceAndAwait("i-1", "shop", good, "dc-a", "/read/warm");
    FakeUpstream other = platform.startUpstream().withScript(PlainRequestPathTest::misdirect);
    platform.announce("i-1", "shop", good, "dc-a", "draining", 2);
    platform.announce("i-2", "shop", other, "dc-a", "ready", 1);
    PlatformFixture.await(
        "the gateway to send requests to i-2",
        () -> {
          platform.call("w-2", "GET", "/read/warm", KEY);
          return !other.requests.isEmpty();
        });
    other.requests.clear();

    for (int i = 0; i < 40; i++) {
      assertThat(platform.call("m-" + i, "GET", "/read/x", KEY)).startsWith("HTTP/1.1 503 ");
    }

    assertThat(other.requests.size()).isAtMost(40 + 20 + 4);
  }

  private static void refuse(com.sun.net.httpserver.HttpExchange exchange)
      throws java.io.IOException {
    exchange.getRequestBody().readAllBytes();
    exchange.getResponseHeaders().set("Not-Executed", "1");
    exchange.sendResponseHeaders(503, -1);
    exchange.close();
  }

  private static void misdirect(com.sun.net.httpserver.HttpExchange exchange)
      throws java.io.IOException {
    exchange.getRequestBody().readAllBytes();
    exchange.sendResponseHeaders(421, -1);
    exchange.close();
  }

  @Test
  void shouldRejectAnUnknownKeyAndAnUnknownPath() throws Exception {
    assertThat(platform.call("a-1", "GET", "/read/x", "Authorization: Bearer none"))
        .startsWith("HTTP/1.1 401 ");
    assertThat(platform.call("a-2", "GET", "/none/x", KEY)).startsWith("HTTP/1.1 404 ");
  }

  @Test
  void shouldAskForARetryIfThereIsNoUpstream() throws Exception {
    String response = platform.call("a-1", "POST", "/order/x", KEY);

    assertThat(response).startsWith("HTTP/1.1 503 ");
    assertThat(response).contains("Retry-After: 0.1");
  }

  @Test
  void shouldSendNothingToADrainingUpstream() throws Exception {
    FakeUpstream shop = platform.startUpstream();
    announceAndAwait("i-1", "shop", shop, "dc-a", "/read/warm");

    platform.announce("i-1", "shop", shop, "dc-a", "draining", 2);

    PlatformFixture.await(
        "the gateway to send no requests to the draining upstream",
        () -> platform.call("d-1", "GET", "/read/x", KEY).startsWith("HTTP/1.1 503 "));
  }

  @Test
  void shouldKeepTheHighestRoutingVersion() throws Exception {
    String newer = DOCUMENT.formatted(9);
    platform.callUntilAcknowledged("POST", "/config/replace", newer);

    HttpResponse<String> older =
        platform.callAsOperator("POST", "/config/replace", DOCUMENT.formatted(4));
    HttpResponse<String> other =
        platform.callAsOperator("POST", "/config/replace", newer.replace("/read/", "/reading/"));
    HttpResponse<String> invalid =
        platform.callAsOperator("POST", "/config/replace", newer.substring(0, 100));

    assertThat(older.statusCode()).isEqualTo(200);
    assertThat(other.statusCode()).isEqualTo(409);
    assertThat(invalid.statusCode()).isEqualTo(400);
    assertThat(platform.callAsOperator("GET", "/config/get", "").body()).isEqualTo(newer);
  }

  private void announceAndAwait(
      String id, String service, FakeUpstream upstream, String zone, String path) {
    platform.announce(id, service, upstream, zone, "ready", 1);
    PlatformFixture.await(
        "the gateway to send requests to " + id,
        () -> !platform.call("w-1", "GET", path, KEY).startsWith("HTTP/1.1 503 "));
  }

  private static void fail(com.sun.net.httpserver.HttpExchange exchange)
      throws java.io.IOException {
    exchange.getRequestBody().readAllBytes();
    exchange.sendResponseHeaders(500, -1);
    exchange.close();
  }
}
