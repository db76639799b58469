import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Model servers as the users' pages describe them: streams of numbered events, and moves of a run's
 * memory to another server. All engines of one check share the table of runs, as each copy carries
 * the run's state.
 */
final class Engine {
  private static final int EVENT_MILLIS = 50;

  /** A run of a request; goes on at another engine with a copy of its memory. */
  private static final class Run {
    volatile int made;
    volatile boolean stopped;
    volatile String handle;
  }

  private final Deployment deployment;
  private final int events;
  private final boolean unframed;
  private final int copyMillis;
  private final Map<String, Run> runs = new ConcurrentHashMap<>();

  /**
   * Creates the engines' common part.
   *
   * @param events the events of each stream
   * @param unframed whether a stream has neither a length nor chunks and ends with its channel
   * @param copyMillis how long each call that copies memory takes
   */
  Engine(Deployment deployment, int events, boolean unframed, int copyMillis) {
    this.deployment = deployment;
    this.events = events;
    this.unframed = unframed;
    this.copyMillis = copyMillis;
  }

  void handle(Server.Request request, Socket socket, OutputStream out) throws Exception {
    if (request.path().equals("/cuminrack/kv-move")) {
      move(request, out);
    } else if (request.path().startsWith("/plan/")) {
      run(request, out);
    } else {
      Server.answer(out, 404, "", new byte[0]);
    }
  }

  private void move(Server.Request request, OutputStream out) throws Exception {
    String body = new String(request.body(), StandardCharsets.UTF_8);
    String id = body.replaceAll("(?s).*\"id\"\\s*:\\s*\"([^\"]*)\".*", "$1");
    boolean last = body.matches("(?s).*\"last\"\\s*:\\s*true.*");
    Run run = runs.get(id);
    if (run == null) {
      Server.answer(out, 404, "", new byte[0]);
      return;
    }
    run.handle = "h-" + id;
    if (last) {
      run.stopped = true;
      deployment.log("engine: run " + id + " stopped by kv-move with last, " + run.made
          + " events made");
    }
    Thread.sleep(copyMillis);
    Server.answer(out, 200, "Content-Type: application/json\r\n",
        ("{\"handle\":\"" + run.handle + "\",\"made\":" + run.made + "}")
            .getBytes(StandardCharsets.UTF_8));
    deployment.log("engine: kv-move " + id + (last ? " with last" : "") + " answered 200");
  }

  private void run(Server.Request request, OutputStream out) throws Exception {
    String id = request.headers().get("attempt-id");
    String from = request.headers().get("kv-from");
    Run run = new Run();
    if (from != null) {
      run.made = Integer.parseInt(request.headers().get("last-event-id"));
      deployment.log("engine: run " + id + " goes on after event " + run.made);
    }
    runs.put(id, run);
    out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + Server.sealed(request)
        + (unframed ? "" : "Transfer-Encoding: chunked\r\n") + "Connection: close\r\n\r\n")
        .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
    while (run.made < events && !run.stopped) {
      Thread.sleep(EVENT_MILLIS);
      synchronized (run) {
        if (!run.stopped) {
          writeEvent(out, run.made + 1);
          run.made++;
        }
      }
    }
    if (!run.stopped && !unframed) {
      out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }
    // A run that was stopped closes its stream without its end.
  }

  private void writeEvent(OutputStream out, int number) throws IOException {
    byte[] event = ("id: " + number + "\ndata: word" + number + "\n\n")
        .getBytes(StandardCharsets.UTF_8);
    if (!unframed) {
      out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
    }
    out.write(event);
    if (!unframed) {
      out.write("\r\n".getBytes(StandardCharsets.UTF_8));
    }
    out.flush();
  }
}
