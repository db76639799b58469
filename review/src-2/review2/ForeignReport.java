package review2;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer sends one liveness report under the id of a server, without two of the fields that
 * every report has. Then the server reports that it drains, and this is acknowledged.
 */
final class ForeignReport {
  private static final int DRAIN_MILLIS = 2000;
  private static final int RUN_MILLIS = 250;

  private ForeignReport() {}

  static boolean run(Record record, boolean trouble) throws Exception {
    AtomicInteger late = new AtomicInteger();
    double[] acknowledgedAt = {Double.MAX_VALUE};
    Upstream[] shops = new Upstream[2];
    try (Small small = new Small(record, 2, Duration.ofSeconds(1))) {
      for (int i = 0; i < 2; i++) {
        int index = i;
        shops[i] =
            small.add(
                "i-shop-" + (i + 1),
                i,
                "shop",
                2,
                (request, connection) -> {
                  double sentAt =
                      Double.parseDouble(request.headers().getOrDefault("sent-at", "0"));
                  boolean isLate =
                      index == 0 && sentAt > acknowledgedAt[0] + DRAIN_MILLIS / 1000.0;
                  if (isLate) {
                    late.incrementAndGet();
                  }
                  record.line(
                      "%s runs %s%s", shops[index].id, request.id(),
                      isLate ? ", though its drain was acknowledged over 2 s before" : "");
                  Upstream.sleep(RUN_MILLIS);
                  shops[index].answer(request, connection, "fine");
                });
      }
      small.awaitServing("GET", "/read/1", "");
      Upstream.sleep(4000);
      if (trouble) {
        sendForeignReport(record, small, shops[0]);
      }
      Upstream.sleep(4000);
      drain(record, small, shops[0]);
      acknowledgedAt[0] = record.seconds();
      sendRequests(record, small);
    }
    record.line(
        "%d requests sent later than %d ms after the acknowledgement reached i-shop-1",
        late.get(), DRAIN_MILLIS);
    return late.get() == 0;
  }

  /** Sends a report that lacks the version and the time for which the server stays cold. */
  private static void sendForeignReport(Record record, Small small, Upstream shop) {
    String report =
        "{\"service\":\"shop\",\"address\":\"" + shop.address()
            + "\",\"zone\":\"zone-a\",\"slots\":2,\"state\":\"ready\",\"call-seq\":100000,"
            + "\"born\":" + shop.bornMillis() + "}";
    int status =
        small
            .operator
            .send(
                small.deployment.control().get(0),
                "POST",
                "/instances/" + shop.id + "/heartbeat",
                report)
            .map(HttpResponse::statusCode)
            .orElse(0);
    record.line("another writer's report on %s, %s, gets %d", shop.id, report, status);
  }

  private static void drain(Record record, Small small, Upstream shop) throws IOException {
    shop.state("draining");
    for (int i = 0; i < 30; i++) {
      String ip = small.deployment.control().get(i % 3);
      if (shop.beat(ip)) {
        record.line("%s reports that it drains; %s acknowledges it", shop.id, ip);
        return;
      }
    }
    throw new IOException("the drain was not acknowledged");
  }

  /** Sends more requests at once than one server has places. */
  private static void sendRequests(Record record, Small small) throws InterruptedException {
    ExecutorService requesters = Executors.newFixedThreadPool(16);
    for (int i = 0; i < 240; i++) {
      String gateway = small.deployment.gateways().get(i % 2);
      String id = "read-" + i;
      requesters.execute(
          () -> {
            Requester.Answer answer =
                Requester.call(
                    gateway, "GET", "/read/1", id, 1000, null,
                    "Sent-At: " + record.seconds() + "\r\n");
            record.line("%s gets %d", id, answer.status());
          });
      Upstream.sleep(25);
    }
    requesters.shutdown();
    requesters.awaitTermination(10, TimeUnit.SECONDS);
  }
}
