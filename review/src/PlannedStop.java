import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Stops one of two gateways with SIGTERM while requesters that keep the directory's answer go on
 * using it. Exits with 1 if a stream that the stopping gateway has passed on to a server is cut.
 */
final class PlannedStop {
  private static final int FIRST_EVENT_MILLIS = 1200;

  /** An event holds 4 tokens: 41 ms a token. */
  private static final int EVENT_MILLIS = 164;

  private static final int EVENTS = 24;

  /** The bound grace-s of the site file. */
  private static final int GRACE_MILLIS = 8000;

  private static final int LAST_REQUEST_MILLIS = 4400;

  private final Deployment deployment;

  private PlannedStop(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] args) throws Exception {
    int result;
    try (Deployment deployment = new Deployment(args[0])) {
      try {
        result = new PlannedStop(deployment).play(!"0".equals(System.getenv("TROUBLE")));
      } catch (Exception e) {
        deployment.log("the case could not run: " + e);
        result = 2;
      }
      deployment.log("exit " + result);
    }
    System.exit(result);
  }

  private int play(boolean trouble) throws Exception {
    deployment.startAll(2);
    deployment.putManifest(Manifests.of(1, 0, ""), 15000);
    for (int i = 0; i < 2; i++) {
      new Server(deployment, i, "llm", 24, this::answer);
    }
    deployment.awaitReady(2, 15000);
    Thread.sleep(3500);
    String addresses =
        Http.call(deployment.directoryAddress(0), "GET",
            "/cuminrack/resolve?name=" + Manifests.HOST, new byte[0], 1000, "Connection: close")
            .text();
    deployment.log("directory: " + addresses);
    int ttlSeconds = Integer.parseInt(addresses.replaceAll("(?s).*\"ttl-s\":(\\d+).*", "$1"));
    long askedNanos = System.nanoTime();
    if (trouble) {
      deployment.stop("gateway-0", GRACE_MILLIS);
    }
    long stopNanos = System.nanoTime();
    // Some requesters keep the directory's answer three times as long as it says.
    long keptNanos = askedNanos + ttlSeconds * 3_000_000_000L;
    ExecutorService pool = Executors.newCachedThreadPool();
    List<Future<Boolean>> streams = new ArrayList<>();
    Thread.sleep(3100);
    while (System.nanoTime() < keptNanos
        && System.nanoTime() - stopNanos < LAST_REQUEST_MILLIS * 1_000_000L) {
      int number = streams.size();
      long sinceStopMillis = (System.nanoTime() - stopNanos) / 1_000_000;
      streams.add(pool.submit(() -> stream(number, sinceStopMillis)));
      Thread.sleep(150);
    }
    boolean broken = false;
    for (Future<Boolean> stream : streams) {
      broken |= stream.get();
    }
    return broken ? 1 : 0;
  }

  private void answer(Server.Request request, Socket socket, OutputStream out) throws Exception {
    if (!request.path().startsWith("/plan/")) {
      Server.answer(out, 404, "", new byte[0]);
      return;
    }
    String id = request.headers().get("attempt-id");
    deployment.log("server: runs " + id);
    Thread.sleep(FIRST_EVENT_MILLIS);
    try {
      out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
          + Server.sealed(request) + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n")
          .getBytes(StandardCharsets.ISO_8859_1));
      for (int i = 1; i <= EVENTS; i++) {
        byte[] event = ("id: " + i + "\ndata: word" + i + "\n\n").getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.write(event);
        out.write("\r\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
        Thread.sleep(EVENT_MILLIS);
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      deployment.log("server: the channel of " + id + " was closed before its end");
    }
  }

  /** Returns whether the request was passed on, and its answer cut. */
  private boolean stream(int number, long sinceStopMillis) {
    String sent = "caller: p" + number + ", sent " + sinceStopMillis + " ms after the SIGTERM: ";
    try {
      Http.Response response =
          Http.call(deployment.frontAddress(0), "POST", "/plan/x", new byte[300], 20000,
              "Host: " + Manifests.HOST, "Attempt-Id: p" + number, "Deadline-Ms: 39000",
              "Model: m", "Token-Counts: 2200,96",
              "Prompt-Prefix: 5c1e07a2:210,91bd3f" + (10 + number) + ":1990");
      long events = response.text().lines().filter(line -> line.startsWith("id:")).count();
      boolean broken = response.status() == 200 && !response.complete();
      deployment.log(sent + response.status() + ", " + events + " of " + EVENTS + " events, "
          + (response.complete() ? "complete" : "cut") + (broken ? ": BROKEN" : ""));
      return broken;
    } catch (IOException e) {
      deployment.log(sent + e);
      return false;
    }
  }
}
