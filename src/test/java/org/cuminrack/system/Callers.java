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

/** Callers of a test's cluster, over the JDK's own HTTP client. */
final class Callers {
  private static final Duration TIMEOUT = Duration.ofSeconds(40);
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);

  /** A generation's request. */
  record Completion(String model, String prompt, int maxTokens, String priority, boolean stream) {}

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /** Sends a generation and reads its events to the end. */
  GenerationAnswer generate(String entry, String prompt, int maxTokens) {
    return generate(entry, prompt, maxTokens, null);
  }

  /** Goes on with a generation after an event. */
  GenerationAnswer generate(String entry, String prompt, int maxTokens, String lastEventId) {
    Completion body = new Completion("planner", prompt, maxTokens, "standard", true);
    HttpRequest.Builder request =
        request(entry, "/v1/completions")
            .POST(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(body)));
    if (lastEventId != null) {
      request.header("Last-Event-ID", lastEventId);
    }
    GenerationAnswer answer = new GenerationAnswer();
    try {
      HttpResponse<Stream<String>> response =
          http.send(request.build(), HttpResponse.BodyHandlers.ofLines());
      answer.begin(response.statusCode());
      response.body().forEach(answer::line);
    } catch (IOException | UncheckedIOException e) {
      answer.broken(e.toString());
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
    return answer;
  }

  /** Places an order; the answer's status is 0 where the connection broke. */
  PlainAnswer order(String entry, String key, String body) {
    return call(
        request(entry, "/shop/orders")
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  /** Sends a GET. */
  PlainAnswer get(String address, String path) {
    return call(request(address, path).GET());
  }

  /** Sends a POST with a JSON body. */
  PlainAnswer post(String address, String path, String json) {
    return call(request(address, path).POST(HttpRequest.BodyPublishers.ofString(json)));
  }

  PlainAnswer call(HttpRequest.Builder request) {
    try {
      HttpResponse<String> response =
          http.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new PlainAnswer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new PlainAnswer(0, e.toString());
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

  /** Returns the addresses that an entry hands out. */
  List<String> entries(String entry) {
    List<String> addresses = new ArrayList<>();
    json(entry, "/v1/entries").path("entries").forEach(each -> addresses.add(each.asText()));
    return addresses;
  }

  /** Returns a process's state. */
  JsonNode dump(String address) {
    return json(address, "/dump");
  }

  /** Returns a JSON answer; a missing node where none came. */
  JsonNode json(String address, String path) {
    byte[] body = get(address, path).body().getBytes(StandardCharsets.UTF_8);
    return Json.readTree(body).getOrElse(MissingNode.getInstance());
  }

  /** Waits until every entry serves both services. */
  void awaitServing(TestCluster cluster) {
    for (String entry : cluster.entryAddresses()) {
      Conditions.await(
          "generations through " + entry,
          READY_TIMEOUT,
          () -> generate(entry, "ready? [[tokens=1]]", 1).isWhole());
      Conditions.await(
          "shop calls through " + entry,
          READY_TIMEOUT,
          () -> get(entry, "/shop/stock").status() == 200);
    }
  }
}
