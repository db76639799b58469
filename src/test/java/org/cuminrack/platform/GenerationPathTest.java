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
    platform = PlatformFixture.start(folder);
  }

  @AfterEach
  void stop() throws Exception {
    platform.close();
  }

  @Test
  void shouldResumeFromTheBackupIfAnEngineIsLost() throws Exception {
    CountDownLatch dropConnection = new CountDownLatch(1);
    List<FakeUpstream> engines = startTwoEngines(dropConnection);

    CompletableFuture<String> stream = startGeneration();
    dropConnectionOnceGenerationIsSent(engines, dropConnection);

    assertThat(ids(stream.get())).containsExactly("1", "2", "3", "4").inOrder();
    assertThat(requestsContaining(engines, "Kv-from=")).hasSize(1);
    assertThat(requestsContaining(engines, "Last-event-id=2 ")).hasSize(1);
  }

  @Test
  void shouldStopALostGenerationBeforeItResumes() throws Exception {
    CountDownLatch dropConnection = new CountDownLatch(1);
    List<FakeUpstream> engines = startTwoEngines(dropConnection);

    CompletableFuture<String> stream = startGeneration();
    dropConnectionOnceGenerationIsSent(engines, dropConnection);
    stream.get();

    List<String> stops = requestsContaining(engines, "POST /cuminrack/kv-move");
    assertThat(stops).hasSize(1);
    FakeUpstream lost =
        engines.stream()
            .filter(engine -> !requestsContaining(List.of(engine), "kv-move").isEmpty())
            .findFirst()
            .get();
    assertThat(requestsContaining(List.of(lost), "Kv-from=")).isEmpty();
  }

  @Test
  void shouldNotResumeInAnEvacuatedDataCentre() throws Exception {
    CountDownLatch dropConnection = new CountDownLatch(1);
    List<FakeUpstream> engines = startTwoEngines(dropConnection);

    CompletableFuture<String> stream = startGeneration();
    PlatformFixture.await(
        "the generation to be sent", () -> !requestsContaining(engines, "p-1").isEmpty());
    platform.callUntilAcknowledged("POST", "/evacuate/dc-a/start", "");
    platform.callUntilAcknowledged("POST", "/evacuate/dc-b/start", "");
    awaitEvacuations();
    dropConnection.countDown();

    assertThat(ids(stream.get())).containsExactly("1", "2").inOrder();
    assertThat(stream.get()).doesNotContain("\r\n0\r\n\r\n");
    assertThat(requestsContaining(engines, "Kv-from=")).isEmpty();
  }

  @Test
  void shouldMoveAGenerationOffALeavingEngine() throws Exception {
    CountDownLatch dropConnection = new CountDownLatch(1);
    FakeUpstream first = platform.startUpstream().withScript(leavingEngineScript(dropConnection));
    platform.announce("e-1", "llm", first, "dc-a", "ready", 1);
    awaitUpstreams(1);
    CompletableFuture<String> stream = startGeneration();
    PlatformFixture.await(
        "the generation to be sent", () -> !requestsContaining(List.of(first), "p-1").isEmpty());
    FakeUpstream second = platform.startUpstream().withScript(FakeUpstream.streaming(3, 4));
    platform.announce("e-2", "llm", second, "dc-b", "ready", 1);
    awaitUpstreams(2);

    platform.announce("e-1", "llm", first, "dc-a", "draining", 2);

    assertThat(ids(stream.get())).containsExactly("1", "2", "3", "4").inOrder();
    assertThat(requestsContaining(List.of(first), "POST /cuminrack/kv-move")).hasSize(2);
    assertThat(requestsContaining(List.of(second), "Kv-from=" + first.address() + "/copy-7 "))
        .hasSize(1);
  }

  /**
   * Returns the script of an engine that drops the connection of its stream at the call for the
   * last copy of its KV cache.
   */
  private static FakeUpstream.Script leavingEngineScript(CountDownLatch stopped) {
    return exchange -> {
      if (!exchange.getRequestURI().getPath().equals("/cuminrack/kv-move")) {
        FakeUpstream.dropConnectionAfter(1, 2, stopped).respond(exchange);
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

  private List<FakeUpstream> startTwoEngines(CountDownLatch dropConnection) throws Exception {
    FakeUpstream first = platform.startUpstream();
    FakeUpstream second = platform.startUpstream();
    for (FakeUpstream engine : List.of(first, second)) {
      engine.withScript(
          exchange -> {
            boolean resumed = exchange.getRequestHeaders().containsKey("Kv-From");
            FakeUpstream.Script script =
                resumed
                    ? FakeUpstream.streaming(3, 4)
                    : FakeUpstream.dropConnectionAfter(1, 2, dropConnection);
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
        "the gateway to receive " + count + " upstreams",
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

  private static void dropConnectionOnceGenerationIsSent(
      List<FakeUpstream> engines, CountDownLatch dropConnection) {
    PlatformFixture.await(
        "the generation to be sent", () -> !requestsContaining(engines, "p-1").isEmpty());
    dropConnection.countDown();
  }

  private static List<String> requestsContaining(List<FakeUpstream> upstreams, String part) {
    return upstreams.stream()
        .flatMap(upstream -> upstream.requests.stream())
        .filter(request -> request.contains(part))
        .toList();
  }

  private static List<String> ids(String response) {
    return response
        .lines()
        .filter(line -> line.startsWith("id: "))
        .map(line -> line.substring("id: ".length()))
        .toList();
  }
}
