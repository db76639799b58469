package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.cuminrack.platform.PlatformFixture.KEY;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** End-to-end tests of generations that change engines, with a real control process and gateway. */
class GenerationPathTest {
  @TempDir Path folder;
  private PlatformFixture platform;

  @BeforeEach
  void start() throws Exception {
    platform = PlatformFixture.serving(folder);
  }

  @AfterEach
  void stop() throws Exception {
    platform.close();
  }

  @Test
  void shouldResumeFromTheBackupIfAnEngineIsLost() throws Exception {
    CountDownLatch cut = new CountDownLatch(1);
    List<FakeServer> engines = twoEngines(cut);

    CompletableFuture<String> stream = startGeneration();
    cutOnceSent(engines, cut);

    assertThat(ids(stream.get())).containsExactly("1", "2", "3", "4").inOrder();
    assertThat(requestsOf(engines, "Kv-from=")).hasSize(1);
    assertThat(requestsOf(engines, "Last-event-id=2 ")).hasSize(1);
  }

  @Test
  void shouldStopALostGenerationBeforeItResumes() throws Exception {
    CountDownLatch cut = new CountDownLatch(1);
    List<FakeServer> engines = twoEngines(cut);

    CompletableFuture<String> stream = startGeneration();
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
  void shouldNotResumeInAnEvacuatedDataCentre() throws Exception {
    CountDownLatch cut = new CountDownLatch(1);
    List<FakeServer> engines = twoEngines(cut);

    CompletableFuture<String> stream = startGeneration();
    PlatformFixture.await("the generation to be sent", () -> !requestsOf(engines, "p-1").isEmpty());
    platform.callUntilAcknowledged("POST", "/evacuate/dc-a/start", "");
    platform.callUntilAcknowledged("POST", "/evacuate/dc-b/start", "");
    awaitEvacuations();
    cut.countDown();

    assertThat(ids(stream.get())).containsExactly("1", "2").inOrder();
    assertThat(stream.get()).doesNotContain("\r\n0\r\n\r\n");
    assertThat(requestsOf(engines, "Kv-from=")).isEmpty();
  }

  @Test
  void shouldMoveAGenerationOffALeavingEngine() throws Exception {
    CountDownLatch cut = new CountDownLatch(1);
    FakeServer first = platform.server().respondingWith(leavingEngineScript(cut));
    platform.announce("e-1", "llm", first, "dc-a", "ready", 1);
    awaitUpstreams(1);
    CompletableFuture<String> stream = startGeneration();
    PlatformFixture.await(
        "the generation to be sent", () -> !requestsOf(List.of(first), "p-1").isEmpty());
    FakeServer second = platform.server().respondingWith(FakeServer.streaming(3, 4));
    platform.announce("e-2", "llm", second, "dc-b", "ready", 1);
    awaitUpstreams(2);

    platform.announce("e-1", "llm", first, "dc-a", "draining", 2);

    assertThat(ids(stream.get())).containsExactly("1", "2", "3", "4").inOrder();
    assertThat(requestsOf(List.of(first), "POST /cuminrack/kv-move")).hasSize(2);
    assertThat(requestsOf(List.of(second), "Kv-from=" + first.address() + "/copy-7 ")).hasSize(1);
  }

  /**
   * Returns the script of an engine that breaks off its stream after the second call to copy its KV
   * cache.
   */
  private static FakeServer.Script leavingEngineScript(CountDownLatch stopped) {
    return exchange -> {
      if (!exchange.getRequestURI().getPath().equals("/cuminrack/kv-move")) {
        FakeServer.cutAfter(1, 2, stopped).respond(exchange);
        return;
      }
      String body = new String(exchange.getRequestBody().readAllBytes(), UTF_8);
      if (body.contains("last")) {
        stopped.countDown();
      }
      byte[] copyResponse = "{\"handle\":\"copy-7\",\"made\":2}".getBytes(UTF_8);
      exchange.sendResponseHeaders(200, copyResponse.length);
      exchange.getResponseBody().write(copyResponse);
      exchange.close();
    };
  }

  private List<FakeServer> twoEngines(CountDownLatch cut) throws Exception {
    FakeServer first = platform.server();
    FakeServer second = platform.server();
    for (FakeServer each : List.of(first, second)) {
      each.respondingWith(
          exchange -> {
            boolean resumed = exchange.getRequestHeaders().containsKey("Kv-From");
            FakeServer.Script script =
                resumed ? FakeServer.streaming(3, 4) : FakeServer.cutAfter(1, 2, cut);
            script.respond(exchange);
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

  private void awaitEvacuations() {
    PlatformFixture.await(
        "both evacuations to be in force",
        () -> platform.call("q-1", "POST", "/plan/y", KEY).startsWith("HTTP/1.1 503 "));
  }

  private CompletableFuture<String> startGeneration() {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return platform.call("p-1", "POST", "/plan/x", KEY, "Token-Counts: 900,400");
          } catch (Exception e) {
            throw new AssertionError("the connection of the generation failed", e);
          }
        });
  }

  private static void cutOnceSent(List<FakeServer> engines, CountDownLatch cut) {
    PlatformFixture.await("the generation to be sent", () -> !requestsOf(engines, "p-1").isEmpty());
    cut.countDown();
  }

  private static List<String> requestsOf(List<FakeServer> servers, String part) {
    return servers.stream()
        .flatMap(each -> each.requests.stream())
        .filter(each -> each.contains(part))
        .toList();
  }

  private static List<String> ids(String response) {
    return response
        .lines()
        .filter(each -> each.startsWith("id: "))
        .map(each -> each.substring("id: ".length()))
        .toList();
  }
}
