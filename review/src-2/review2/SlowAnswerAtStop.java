package review2;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway gets SIGTERM. More than 3 s later requesters that still hold its address send it short
 * generations, each of which takes its engine longer than the objective, but less than its deadline.
 */
final class SlowAnswerAtStop {
  private static final int FIRST_EVENT_MILLIS = 4200;
  private static final int DEADLINE_MILLIS = 6000;
  private static final double FIRST_SENT_SECONDS = 3.1;

  private SlowAnswerAtStop() {}

  static boolean run(Record record, boolean trouble) throws Exception {
    Map<String, Double> startedAt = new ConcurrentHashMap<>();
    AtomicInteger cut = new AtomicInteger();
    try (Small small = new Small(record, 2, Duration.ofSeconds(1))) {
      for (int i = 1; i <= 3; i++) {
        small.add(
            "i-llm-" + i, i, "llm", 24, (request, to) -> generate(record, startedAt, request, to));
      }
      String more = "Model: m\r\nToken-Counts: 2200,8\r\n";
      small.awaitServing("POST", "/check/1", more);
      Upstream.sleep(3500);
      String gateway = small.deployment.gateways().get(0);
      String directory = lookUp(small.deployment.control().get(0));
      record.line("the directory tells %s", directory);
      if (!directory.contains(gateway + ":")) {
        throw new IOException("the directory does not name " + gateway);
      }
      double termAt = record.seconds();
      if (trouble) {
        small.deployment.signal(gateway, "TERM");
      }
      record.line(trouble ? "SIGTERM to %s" : "no SIGTERM to %s", gateway);
      ExecutorService requesters = Executors.newCachedThreadPool();
      Upstream.sleep((long) ((termAt + FIRST_SENT_SECONDS - record.seconds()) * 1000));
      for (int i = 0; i < 8; i++) {
        String id = "check-" + i;
        String prefix = "Prompt-Prefix: 5c1e:350," + Integer.toHexString(id.hashCode()) + ":1850\r\n";
        requesters.execute(
            () -> {
              double sentAt = record.seconds();
              record.line("%s is sent, %.2f s after the SIGTERM", id, sentAt - termAt);
              Requester.Answer answer =
                  Requester.call(
                      gateway, "POST", "/check/1", id, DEADLINE_MILLIS, new byte[0], more + prefix);
              boolean ended = answer.status() == 200 && answer.complete();
              record.line(
                  "%s gets status %d, %s, %.2f s after it was sent",
                  id, answer.status(), ended ? "complete" : "not complete",
                  record.seconds() - sentAt);
              // A failure of the gateway's own counts as an answer here, a closed channel does not.
              if (startedAt.containsKey(id) && !answer.complete()) {
                cut.incrementAndGet();
              }
            });
        Upstream.sleep(100);
      }
      requesters.shutdown();
      requesters.awaitTermination(15, TimeUnit.SECONDS);
    }
    record.line(
        "%d requests were passed on to a server and their channel ended without a complete answer",
        cut.get());
    return cut.get() == 0;
  }

  private static void generate(
      Record record,
      Map<String, Double> startedAt,
      Upstream.Request request,
      Upstream.Connection connection)
      throws IOException {
    startedAt.put(request.id(), record.seconds());
    record.line(
        "a server runs %s with Deadline-Ms %s", request.id(), request.headers().get("deadline-ms"));
    Upstream.sleep(request.id().startsWith("warm") ? 100 : FIRST_EVENT_MILLIS);
    connection.write(
        "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.id() + "\r\nServer-Seal: seal-" + request.id()
            + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream"
            + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    connection.chunk("id: 1\ndata: one\n\n");
    Upstream.sleep(50);
    connection.chunk("id: 2\ndata: two\n\n");
    connection.write("0\r\n\r\n");
  }

  private static String lookUp(String control) throws IOException, InterruptedException {
    URI uri =
        URI.create(
            "http://" + control + ":" + Deployment.DIRECTORY_PORT + "/cuminrack/resolve?name="
                + Manifest.HOST + "&region=region&zone=zone-a");
    HttpRequest request = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(1)).build();
    return HttpClient.newHttpClient()
        .send(request, HttpResponse.BodyHandlers.ofString())
        .body();
  }
}
