package org.cuminrack.system;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.cuminrack.http.Json;

/** Sends callers' requests to the processes of a test cluster with the JDK's HTTP client. */
final class CallerClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(40);
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);

  /** The body of a generation request. */
  record CompletionRequest(
      String model, String prompt, int maxTokens, String priority, boolean stream) {}

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /** Sends a generation request and reads its events until the stream ends. */
  GenerationResponse generate(String entryAddress, String prompt, int maxTokens) {
    return generate(entryAddress, prompt, maxTokens, null);
  }

  /** Sends a generation request that resumes after an event; null starts a new generation. */
  GenerationResponse generate(
      String entryAddress, String prompt, int maxTokens, String lastEventId) {
    CompletionRequest body = new CompletionRequest("planner", prompt, maxTokens, "standard", true);
    HttpRequest.Builder request =
        request(entryAddress, "/v1/completions")
            .POST(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(body)));
    if (lastEventId != null) {
      request.header("Last-Event-ID", lastEventId);
    }
    GenerationResponse generation = new GenerationResponse();
    try {
      HttpResponse<Stream<String>> response =
          http.send(request.build(), HttpResponse.BodyHandlers.ofLines());
      generation.setStatus(response.statusCode());
      response.body().forEach(generation::addLine);
    } catch (IOException | UncheckedIOException e) {
      generation.setConnectionError(e.toString());
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
    return generation;
  }

  /** Places an order; the response has status 0 if no complete response arrived. */
  PlainResponse order(String entryAddress, String key, String body) {
    return call(
        request(entryAddress, "/shop/orders")
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  PlainResponse get(String address, String path) {
    return call(request(address, path).GET());
  }

  PlainResponse post(String address, String path, String json) {
    return call(request(address, path).POST(HttpRequest.BodyPublishers.ofString(json)));
  }

  PlainResponse call(HttpRequest.Builder request) {
    try {
      HttpResponse<String> response =
          http.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new PlainResponse(response.statusCode(), response.body());
    } catch (IOException e) {
      return new PlainResponse(0, e.toString());
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  HttpRequest.Builder request(String address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path))
        .timeout(TIMEOUT)
        .header("X-Organisation", "app")
        .header("Content-Type", "application/json");
  }

  /** Returns the entry addresses that an entry lists for callers. */
  List<String> entries(String entryAddress) {
    List<String> addresses = new ArrayList<>();
    json(entryAddress, "/v1/entries").path("entries").forEach(each -> addresses.add(each.asText()));
    return addresses;
  }

  /** Returns the state dump of a process. */
  JsonNode dump(String address) {
    return json(address, "/dump");
  }

  /** Returns a JSON response, or a missing node if the body is not JSON. */
  JsonNode json(String address, String path) {
    byte[] body = get(address, path).body().getBytes(StandardCharsets.UTF_8);
    return Json.readTree(body).getOrElse(MissingNode.getInstance());
  }

  /** Waits until every entry serves generations and shop calls. */
  void awaitServing(TestCluster cluster) {
    for (String entryAddress : cluster.entryAddresses()) {
      Conditions.await(
          "generations through " + entryAddress,
          READY_TIMEOUT,
          // The stand-in engine reads the output length from the marker in the prompt.
          () -> generate(entryAddress, "ready? [[tokens=1]]", 1).isComplete());
      Conditions.await(
          "shop calls through " + entryAddress,
          READY_TIMEOUT,
          () -> get(entryAddress, "/shop/stock").status() == 200);
    }
  }
}
