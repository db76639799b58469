package org.cuminrack.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.cuminrack.system.Conditions;

/**
 * An operator that asks one control VM after the other, follows a redirect twice and moves on after
 * a failure.
 */
final class RoutingOperator {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final int MAX_REDIRECTS = 2;
  private static final int NO_RESPONSE = 0;

  private final HttpClient http =
      HttpClient.newBuilder()
          .connectTimeout(CALL_TIMEOUT)
          .version(HttpClient.Version.HTTP_1_1)
          .build();
  private final Supplier<List<String>> controlAddresses;
  private final Supplier<String> failureDetail;
  private final Map<String, Integer> lastStatusByAddress = new LinkedHashMap<>();
  private int calls;

  RoutingOperator(Supplier<List<String>> controlAddresses, Supplier<String> failureDetail) {
    this.controlAddresses = controlAddresses;
    this.failureDetail = failureDetail;
  }

  /** An answer and the host that gave it. */
  private record Reply(int status, String body, String host) {}

  /** Sends a document until it is acknowledged and returns the host that acknowledged it. */
  String put(long version, Duration bound) {
    String document = PlatformFixture.DOCUMENT.formatted(version);
    return untilOk("version " + version + " to be acknowledged", bound, "replace", document).host();
  }

  /** Returns the version of the newest document. */
  long readVersion(Duration bound) {
    return version(untilOk("the newest version", bound, "get", null));
  }

  /** Returns the version that one VM, or the one to which it redirects, answers with, if any. */
  Optional<Long> readVersionAt(String address) {
    Reply reply = call(address, "get", null);
    return reply.status() == 200 ? Optional.of(version(reply)) : Optional.empty();
  }

  private static long version(Reply reply) {
    try {
      return new ObjectMapper().readTree(reply.body()).path("version").asLong();
    } catch (JsonProcessingException e) {
      throw new AssertionError("expected a document, found " + reply, e);
    }
  }

  private Reply untilOk(String what, Duration bound, String call, String body) {
    lastStatusByAddress.clear();
    return Conditions.awaitValue(
        what,
        bound,
        () -> {
          Reply reply = call(nextAddress(), call, body);
          return reply.status() == 200 ? reply : null;
        },
        () -> "last statuses " + lastStatusByAddress + "\n" + failureDetail.get());
  }

  private String nextAddress() {
    List<String> addresses = controlAddresses.get();
    return addresses.get(calls++ % addresses.size());
  }

  private Reply call(String address, String call, String body) {
    URI uri = URI.create("http://" + address + "/cuminrack/config/" + call);
    HttpResponse<String> response = send(uri, body);
    for (int i = 0; i < MAX_REDIRECTS && response != null && response.statusCode() == 307; i++) {
      uri = URI.create(response.headers().firstValue("Location").orElseThrow());
      response = send(uri, body);
    }
    int status = response == null ? NO_RESPONSE : response.statusCode();
    lastStatusByAddress.put(address + " by " + uri.getHost(), status);
    return new Reply(status, response == null ? "" : response.body(), uri.getHost());
  }

  /** Returns null if there is no response in time. */
  private HttpResponse<String> send(URI uri, String body) {
    HttpRequest.Builder request = HttpRequest.newBuilder(uri).timeout(CALL_TIMEOUT);
    if (body != null) {
      request.POST(HttpRequest.BodyPublishers.ofString(body));
    }
    try {
      return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      return null;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
    }
  }
}
