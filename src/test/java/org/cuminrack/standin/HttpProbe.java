package org.cuminrack.standin;

import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.cuminrack.http.HttpCall;
import org.cuminrack.http.HttpClient;
import org.cuminrack.http.HttpFailure;
import org.cuminrack.http.HttpResponse;

/** An HTTP client that calls a stand-in as an entry does. */
final class HttpProbe implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final HttpClient client = new HttpClient();
  private final String address;

  HttpProbe(String address) {
    this.address = address;
    client.start();
  }

  HttpResponse get(String path) {
    return send(call(Methods.GET, path)).get();
  }

  HttpResponse post(String path, Object json) {
    return send(call(Methods.POST, path).withJson(json)).get();
  }

  Either<HttpFailure, HttpResponse> send(HttpCall call) {
    return client.send(call.withTimeout(TIMEOUT)).join();
  }

  /** Sends a call without waiting for the response. */
  void sendAsync(HttpCall call) {
    client.send(call.withTimeout(TIMEOUT));
  }

  HttpCall call(HttpString method, String path) {
    return HttpCall.of(method, address, path);
  }

  HttpCall generationCall(String prompt) {
    return call(Methods.POST, "/v1/completions")
        .withJson(Map.of("request_id", "r-1", "model", "planner", "prompt", prompt));
  }

  /** Returns the data of each event of a stream. */
  static List<String> eventData(HttpResponse response) {
    return response
        .text()
        .lines()
        .filter(each -> each.startsWith("data: "))
        .map(each -> each.substring("data: ".length()))
        .toList();
  }

  @Override
  public void close() {
    client.stop();
  }
}
