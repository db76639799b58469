package org.cuminrack.system;

import static com.google.common.truth.Truth.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("process")
class StandInProcessTest {
  private static final int CRASH_EXIT_CODE = 137;

  @TempDir private Path folder;
  private final HttpClient client = HttpClient.newHttpClient();
  private RunningProcess engine;
  private String address;

  @BeforeEach
  void setUp() throws Exception {
    engine =
        RunningProcess.start(
            folder, "engine", "stand-in", "engine", "--name", "e1", "--data-centre", "dc-a");
    address = engine.awaitStarted("address");
  }

  @AfterEach
  void tearDown() throws Exception {
    engine.kill();
  }

  @Test
  void shouldCompleteRunningGenerationsBeforeAGracefulExit() throws Exception {
    CompletableFuture<HttpResponse<String>> response = generate("menus [[tokens=60]]");
    awaitRunning();

    engine.terminate();

    assertThat(response.join().body()).contains("\"index\":60,\"finish_reason\":\"stop\"");
    assertThat(engine.awaitExit()).isEqualTo(0);
  }

  @Test
  void shouldCrashOnAPoisonPrompt() throws Exception {
    generate("[[poison]] [[tokens=60]]");

    assertThat(engine.awaitExit()).isEqualTo(CRASH_EXIT_CODE);
  }

  private CompletableFuture<HttpResponse<String>> generate(String prompt) {
    String body = "{\"request_id\":\"r\",\"model\":\"planner\",\"prompt\":\"" + prompt + "\"}";
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/v1/completions"))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  private void awaitRunning() {
    Conditions.await(
        "a generation to run", Duration.ofSeconds(10), () -> status().contains("\"running\":1"));
  }

  private String status() {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/v1/status")).build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).join().body();
  }
}
