package review2;

import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * For 5.5 s at a time one in five requesters leaves before its answer comes. Then nobody leaves, and
 * the gateway gets small requests of requesters that wait.
 */
final class RequestersLeave {
  private static final int SECONDS = 80;
  private static final int REQUESTS_PER_SECOND = 44;
  private static final int BODY_BYTES = 256 << 10;
  private static final int WARM_UP_REQUESTS = 40;
  private static final int WARM_UP_INTERVAL_MILLIS = 50;

  private static final double LEAVING_SECONDS = 5.5;
  private static final double PERIOD_SECONDS = 6.5;
  private static final int ONE_IN = 5;
  private static final int LEAVES_AFTER_MILLIS = 75;

  private static final int TIMEOUT_MILLIS = 1000;
  private static final int LATE_MILLIS = TIMEOUT_MILLIS + 500;
  private static final int CONTACT_MILLIS = 3000;
  private static final int CHECKED_REQUESTS = 40;

  private RequestersLeave() {}

  static boolean run(Record record, boolean trouble) throws Exception {
    byte[] body = new byte[BODY_BYTES];
    Arrays.fill(body, (byte) 'x');
    try (Small small = new Small(record, 1, Duration.ofSeconds(1))) {
      for (int i = 0; i < 3; i++) {
        int index = i;
        small.add(
            "i-shop-" + i,
            i,
            "shop",
            24,
            (request, connection) -> {
              Upstream.sleep(120);
              small.upstreams.get(index).answer(request, connection, "fine");
            });
      }
      small.awaitServing("POST", "/order/1", "");
      String gateway = small.deployment.gateways().get(0);
      for (int i = 0; i < WARM_UP_REQUESTS; i++) {
        call(gateway, "first-" + i, body);
        Upstream.sleep(WARM_UP_INTERVAL_MILLIS);
      }
      sendWhileSomeLeave(record, small, gateway, body, trouble);
      Upstream.sleep(CONTACT_MILLIS);
      boolean held = areAnswered(record, small, gateway);
      describe(record, small, gateway);
      return held;
    }
  }

  private static void sendWhileSomeLeave(
      Record record, Small small, String gateway, byte[] body, boolean trouble) throws Exception {
    Map<String, Integer> outcomes = new ConcurrentHashMap<>();
    ExecutorService requesters = Executors.newCachedThreadPool();
    long start = System.nanoTime();
    for (int i = 0; i < SECONDS * REQUESTS_PER_SECOND; i++) {
      double second = (double) i / REQUESTS_PER_SECOND;
      TimeUnit.NANOSECONDS.sleep(start + (long) (second * 1e9) - System.nanoTime());
      String id = "order-" + i;
      boolean leaves = trouble && i % ONE_IN == 0 && second % PERIOD_SECONDS < LEAVING_SECONDS;
      requesters.execute(
          () -> outcomes.merge(leaves ? leave(gateway, id, body) : call(gateway, id, body), 1, Integer::sum));
      if (i % (5 * REQUESTS_PER_SECOND) == 0) {
        record.line("%s so far", new TreeMap<>(outcomes));
        describe(record, small, gateway);
      }
    }
    requesters.shutdown();
    requesters.awaitTermination(10, TimeUnit.SECONDS);
    record.line("%s in all; from here on nobody leaves", new TreeMap<>(outcomes));
  }

  private static void describe(Record record, Small small, String gateway) throws IOException {
    Process process = small.deployment.process(gateway);
    record.line(
        "gateway: alive %s, %d KB resident, %d descriptors, %d errors of memory in its log",
        process.isAlive(),
        small.deployment.residentKb(gateway),
        new File("/proc/" + process.pid() + "/fd").list().length,
        small.deployment.log(gateway, "OutOfMemoryError").size());
  }

  private static String call(String gateway, String id, byte[] body) {
    Requester.Answer answer =
        Requester.call(gateway, "POST", "/order/1", id, TIMEOUT_MILLIS, body, "");
    return answer.status() == 0 ? "no answer" : "status " + answer.status();
  }

  /** Sends a whole request and closes the channel before the answer can have come. */
  private static String leave(String gateway, String id, byte[] body) {
    try (Socket socket = Requester.open(gateway, TIMEOUT_MILLIS)) {
      socket
          .getOutputStream()
          .write(Requester.head("POST", "/order/1", id, TIMEOUT_MILLIS, body.length, ""));
      socket.getOutputStream().write(body);
      Upstream.sleep(LEAVES_AFTER_MILLIS);
      return "left";
    } catch (IOException e) {
      return "could not send";
    }
  }

  /** Returns whether enough of some requests are answered half a second after their timeout. */
  private static boolean areAnswered(Record record, Small small, String gateway) throws Exception {
    record.line("the gateway says that it is ready: %s", small.isReady(gateway));
    AtomicInteger unanswered = new AtomicInteger();
    ExecutorService requesters = Executors.newCachedThreadPool();
    for (int i = 0; i < CHECKED_REQUESTS; i++) {
      String id = "check-" + i;
      requesters.execute(
          () -> {
            double sentAt = record.seconds();
            Requester.Answer answer =
                Requester.call(
                    gateway, "POST", "/order/1", id, TIMEOUT_MILLIS, new byte[600], "");
            double seconds = record.seconds() - sentAt;
            boolean isAnswered = answer.status() != 0 && seconds * 1000 < LATE_MILLIS;
            record.line(
                "%s: %s after %.2f s",
                id, isAnswered ? "status " + answer.status() : "no answer", seconds);
            if (!isAnswered) {
              unanswered.incrementAndGet();
            }
          });
      Upstream.sleep(100);
    }
    requesters.shutdown();
    requesters.awaitTermination(10, TimeUnit.SECONDS);
    record.line(
        "%d of %d requests have no answer %d ms after they were sent; their route's timeout-ms is %d",
        unanswered.get(), CHECKED_REQUESTS, LATE_MILLIS, TIMEOUT_MILLIS);
    return unanswered.get() < 8 || unanswered.get() <= CHECKED_REQUESTS / 4;
  }
}
