package review2;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Hundreds of changes of a manifest that has grown by many routes; then it is read back. */
final class ManyChanges {
  private static final int MORE_ROUTES = 1756;
  private static final int CHANGES = 430;
  private static final double CHANGES_PER_SECOND = 8;
  private static final int OPERATOR_ORDERS_AT_ONCE = 8;
  private static final int READ_BACK_SECONDS = 10;

  private ManyChanges() {}

  static boolean run(Record record, boolean trouble) throws Exception {
    int routes = trouble ? MORE_ROUTES : 0;
    try (Small small = new Small(record, 1, Duration.ofSeconds(2))) {
      small.add(
          "i-shop-1",
          1,
          "shop",
          6,
          (request, connection) -> small.upstreams.get(0).answer(request, connection, "fine"));
      small.awaitServing("GET", "/read/1", "");
      record.line(
          "the manifest grows by %d routes to %d bytes", routes, Manifest.of(2, routes).length());
      AtomicLong newest = new AtomicLong(1);
      ExecutorService operators = Executors.newFixedThreadPool(OPERATOR_ORDERS_AT_ONCE);
      long start = System.nanoTime();
      for (int i = 0; i < CHANGES; i++) {
        long version = 2 + i;
        long dueNanos = start + (long) (i / CHANGES_PER_SECOND * 1e9);
        TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
        operators.execute(() -> change(record, small, version, routes, newest));
        if (i % 50 == 49) {
          describeControl(record, small);
        }
      }
      operators.shutdown();
      operators.awaitTermination(25, TimeUnit.SECONDS);
      describeControl(record, small);
      return readBack(record, small, newest.get());
    }
  }

  private static void change(
      Record record, Small small, long version, int routes, AtomicLong newest) {
    try {
      String manifest = Manifest.of(version, routes);
      boolean acknowledged =
          small.operator.order("POST", "/config/replace", manifest, Duration.ofSeconds(4));
      record.line(
          "manifest %d %s", version,
          acknowledged ? "is acknowledged" : "is not acknowledged within 4 s");
      if (acknowledged) {
        newest.accumulateAndGet(version, Math::max);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void describeControl(Record record, Small small) throws IOException {
    for (String ip : small.deployment.control()) {
      record.line(
          "control %s: alive %s, %d KB resident, %d KB on its disk",
          ip,
          small.deployment.process(ip).isAlive(),
          small.deployment.residentKb(ip),
          small.deployment.dataBytes(ip) / 1024);
      small.deployment.log(ip, "^Exception in thread").stream()
          .distinct()
          .forEach(line -> record.line("control %s logs: %s", ip, line));
    }
  }

  private static boolean readBack(Record record, Small small, long newest) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READ_BACK_SECONDS);
    for (int i = 0; System.nanoTime() < end; i++) {
      String ip = small.deployment.control().get(i % 3);
      Optional<HttpResponse<String>> response =
          small.operator.send(ip, "GET", "/config/get", null);
      if (response.isPresent() && response.get().statusCode() == 200) {
        String body = response.get().body();
        long version = Long.parseLong(body.substring("{\"version\":".length(), body.indexOf(',')));
        record.line("control %s tells manifest %d; %d is acknowledged", ip, version, newest);
        if (version >= newest) {
          return true;
        }
      } else {
        record.line(
            "control %s: %s", ip,
            response.map(each -> "status " + each.statusCode()).orElse("no answer"));
      }
      Thread.sleep(250);
    }
    record.line(
        "read back for %d s: the acknowledged manifest %d does not come", READ_BACK_SECONDS, newest);
    return false;
  }
}
