package review2;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server says that it leaves, and this is acknowledged. All processes are killed at the same
 * moment and are back within a second. Then a report arrives that the server sent before it left.
 */
final class LeaveForgotten {
  private static final int DRAIN_MILLIS = 2000;
  private static final int CONTACT_MILLIS = 3000;
  private static final int RUN_MILLIS = 250;
  private static final int DOWN_MILLIS = 600;
  private static final double REPORT_LATE_SECONDS = 2.5;

  private LeaveForgotten() {}

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
                      isLate ? ", though its leave was acknowledged over 2 s before" : "");
                  Upstream.sleep(RUN_MILLIS);
                  shops[index].answer(request, connection, "fine");
                });
      }
      small.awaitServing("GET", "/read/1", "");
      Upstream.sleep(4000);
      String report = shops[0].nextReport();
      double reportAt = record.seconds();
      record.line("i-shop-1 sends %s; it is on its way", report);
      shops[0].announces(false);
      Upstream.sleep(200);
      leave(record, small, shops[0]);
      acknowledgedAt[0] = record.seconds();
      Upstream.sleep(300);
      if (trouble) {
        killAll(record, small);
      }
      Upstream.sleep((long) ((reportAt + REPORT_LATE_SECONDS - record.seconds()) * 1000));
      deliver(record, small, shops[0], report);
      Upstream.sleep(CONTACT_MILLIS);
      sendRequests(record, small);
    }
    record.line(
        "%d requests sent later than %d ms after the acknowledgement reached i-shop-1",
        late.get(), DRAIN_MILLIS);
    return late.get() == 0;
  }

  private static void leave(Record record, Small small, Upstream shop) throws IOException {
    String body = "{\"born\":" + shop.bornMillis() + "}";
    for (int i = 0; i < 30; i++) {
      String ip = small.deployment.control().get(i % 3);
      if (isAcknowledged(small, ip, "/instances/" + shop.id + "/leave", body)) {
        record.line("%s leaves; %s acknowledges it", shop.id, ip);
        return;
      }
    }
    throw new IOException("the leave was not acknowledged");
  }

  private static boolean isAcknowledged(Small small, String ip, String path, String body) {
    return small
        .operator
        .send(ip, "POST", path, body)
        .map(HttpResponse::statusCode)
        .filter(status -> status == 200)
        .isPresent();
  }

  private static void killAll(Record record, Small small) throws Exception {
    List<String> control = small.deployment.control();
    List<String> all = new java.util.ArrayList<>(control);
    all.addAll(small.deployment.gateways());
    small.deployment.kill(all);
    record.line("all processes are killed");
    Upstream.sleep(DOWN_MILLIS);
    for (String ip : control) {
      small.deployment.startControl(ip, false);
    }
    for (String ip : small.deployment.gateways()) {
      small.deployment.startGateway(ip);
    }
    record.line("all processes are started again");
  }

  /** Delivers the delayed report to the first control VM that takes the connection. */
  private static void deliver(Record record, Small small, Upstream shop, String report) {
    for (int i = 0; i < 30; i++) {
      String ip = small.deployment.control().get(i % 3);
      if (isAcknowledged(small, ip, "/instances/" + shop.id + "/heartbeat", report)) {
        record.line("the delayed report arrives at %s", ip);
        return;
      }
      Upstream.sleep(50);
    }
    record.line("the delayed report reaches nobody");
  }

  /** Sends more requests at once than one server has places. */
  private static void sendRequests(Record record, Small small) throws InterruptedException {
    ExecutorService requesters = Executors.newFixedThreadPool(16);
    for (int i = 0; i < 120; i++) {
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
