import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Streams without a length or chunks, on an engine that is replaced while they run: the new one
 * starts first, then the old one drains. Exits with 1 if a stream ends as complete before its last
 * event.
 */
final class MovedStream {
  private static final int STREAMS = 6;
  private static final int EVENTS = 100;

  public static void main(String[] args) throws Exception {
    int result;
    try (Deployment deployment = new Deployment(args[0])) {
      try {
        result = play(deployment, !"0".equals(System.getenv("TROUBLE")));
      } catch (Exception e) {
        deployment.log("the case could not run: " + e);
        result = 2;
      }
      deployment.log("exit " + result);
    }
    System.exit(result);
  }

  private static int play(Deployment deployment, boolean trouble) throws Exception {
    deployment.startAll(2);
    deployment.putManifest(Manifests.of(1, 0, ""), 15000);
    Engine engines = new Engine(deployment, EVENTS, true, 150);
    Server first = new Server(deployment, 0, "llm", 24, engines::handle);
    deployment.awaitReady(2, 15000);
    Thread.sleep(3500);
    ExecutorService pool = Executors.newCachedThreadPool();
    List<Future<Boolean>> streams = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      int number = i;
      streams.add(pool.submit(() -> stream(deployment, number)));
    }
    Thread.sleep(500);
    new Server(deployment, 1, "llm", 24, engines::handle);
    Thread.sleep(1500);
    if (trouble) {
      first.drain();
      deployment.log("the first engine drains, acknowledged");
    }
    boolean broken = false;
    for (Future<Boolean> stream : streams) {
      broken |= stream.get();
    }
    return broken ? 1 : 0;
  }

  /** Returns whether the stream looks complete without its last event. */
  private static boolean stream(Deployment deployment, int number) throws Exception {
    Http.Response response =
        Http.call(deployment.frontAddress(number % 2), "POST", "/plan/x", new byte[300], 20000,
            "Host: " + Manifests.HOST, "Attempt-Id: s" + number, "Deadline-Ms: 39000", "Model: m",
            "Token-Counts: 3000,400", "Prompt-Prefix: 5c1e07a2:79,91bd3f0" + number + ":2921");
    long events = response.text().lines().filter(line -> line.startsWith("id:")).count();
    boolean broken = response.status() == 200 && response.complete() && events < EVENTS;
    deployment.log("caller: stream s" + number + " status " + response.status() + ", " + events
        + " of " + EVENTS + " events, " + (response.complete() ? "ended as complete" : "cut")
        + (broken ? ": BROKEN" : ""));
    return broken;
  }
}
