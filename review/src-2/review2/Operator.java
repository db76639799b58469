package review2;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Calls control as the pages say: one VM after the other, following redirects twice. */
final class Operator {
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final List<String> control;
  private final Duration timeout;

  Operator(List<String> control, Duration timeout) {
    this.control = control;
    this.timeout = timeout;
  }

  /** Sends an order once to one VM; empty if there was no response. */
  Optional<HttpResponse<String>> send(String ip, String method, String path, String body) {
    URI uri = URI.create("http://" + ip + ":" + Deployment.CONTROL_PORT + "/cuminrack" + path);
    try {
      for (int i = 0; i < 3; i++) {
        HttpRequest.Builder request = HttpRequest.newBuilder(uri).timeout(timeout);
        if (body == null) {
          request.method(method, HttpRequest.BodyPublishers.noBody());
        } else {
          request
              .header("Content-Type", "application/json")
              .method(method, HttpRequest.BodyPublishers.ofString(body));
        }
        HttpResponse<String> response =
            http.send(request.build(), HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() != 307) {
          return Optional.of(response);
        }
        uri = URI.create(response.headers().firstValue("Location").orElseThrow());
      }
    } catch (IOException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return Optional.empty();
  }

  /** Sends an order until it is acknowledged or the time is over; returns whether it was. */
  boolean order(String method, String path, String body, Duration within)
      throws InterruptedException {
    long end = System.nanoTime() + within.toNanos();
    long pause = 50;
    for (int i = 0; System.nanoTime() < end; i++) {
      Optional<HttpResponse<String>> response =
          send(control.get(i % control.size()), method, path, body);
      int status = response.map(HttpResponse::statusCode).orElse(0);
      if (status == 200) {
        return true;
      }
      if (status == 400 || status == 409 || status == 412 || status == 413 || status == 422) {
        throw new IllegalStateException(path + ": " + status + " " + response.get().body());
      }
      Thread.sleep(pause);
      pause = Math.min(400, pause * 2);
    }
    return false;
  }
}
