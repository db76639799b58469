package org.cuminrack.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * An engine on loopback whose streams have neither a length nor chunks. A generation runs until it
 * is asked to stop for a move, or resumes after a move and completes. What the engine does when it
 * is asked to stop is scripted.
 */
final class UnframedEngine implements AutoCloseable {
  /** A gateway that takes the end of a connection for that of a stream probes the engine twice. */
  private static final int PROBES = 2;

  private static final int TIMEOUT_MILLIS = 1_000;

  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final StopScript onStop;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final CountDownLatch connectionEnded = new CountDownLatch(1);
  private final CountDownLatch probes = new CountDownLatch(PROBES);
  private volatile String lastEvents = "";

  /** The heads of all requests received. */
  final List<String> requests = new CopyOnWriteArrayList<>();

  UnframedEngine(StopScript onStop) throws IOException {
    this.onStop = onStop;
    threads.execute(this::accept);
  }

  /** Handles the call to stop the generation; returns the response. */
  interface StopScript {
    Response stop(UnframedEngine engine) throws InterruptedException, IOException;
  }

  /** A response to a call that moves memory. */
  record Response(int status, String body) {}

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /**
   * Sends these events and ends the connection of the stream in order. Returns once the gateway has
   * closed its side, and then probed the engine or not done so within a second.
   */
  void endConnection(String events) throws InterruptedException {
    endConnectionLater(events);
    connectionEnded.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    probes.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Sends these events and ends the connection of the stream in order. */
  void endConnectionLater(String events) {
    lastEvents = events;
    stopped.countDown();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket connection = listener.accept();
        threads.execute(() -> serve(connection));
      } catch (IOException e) {
        // Closed at the end of the test.
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = connection.getInputStream();
      String head = readHead(in);
      if (head.isEmpty()) {
        probes.countDown();
        return;
      }
      requests.add(head);
      if (head.startsWith("POST /cuminrack/kv-move ")) {
        move(head, in, connection.getOutputStream());
      } else {
        run(head, in, connection);
      }
    } catch (IOException e) {
      // The gateway closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void move(String head, InputStream in, OutputStream out)
      throws IOException, InterruptedException {
    int length =
        head.lines()
            .filter(line -> line.startsWith("Content-Length: "))
            .mapToInt(line -> Integer.parseInt(line.substring("Content-Length: ".length())))
            .sum();
    String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
    Response response =
        body.contains("last")
            ? onStop.stop(this)
            : new Response(200, "{\"handle\":\"copy-1\",\"made\":1}");
    write(
        out,
        "HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s"
            .formatted(response.status(), response.body().length(), response.body()));
  }

  private void run(String head, InputStream in, Socket connection)
      throws IOException, InterruptedException {
    String id =
        head.lines().filter(line -> line.startsWith("Attempt-Id: ")).findFirst().orElseThrow();
    OutputStream out = connection.getOutputStream();
    write(out, "HTTP/1.1 200 OK\r\n" + id + "\r\nServer-Seal: seal\r\n\r\n");
    if (head.contains("Kv-From: ")) {
      write(out, events(3, 4));
      return;
    }
    write(out, events(1, 2));
    stopped.await();
    write(out, lastEvents);
    connection.shutdownOutput();
    in.transferTo(OutputStream.nullOutputStream());
    connectionEnded.countDown();
  }

  /** Returns the events with the ids from first to last. */
  static String events(int first, int last) {
    StringBuilder events = new StringBuilder();
    for (int id = first; id <= last; id++) {
      events.append("id: ").append(id).append("\ndata: t\n\n");
    }
    return events.toString();
  }

  /** Returns an empty text if the connection ends before a request. */
  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    return head.toString();
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    threads.shutdownNow();
  }
}
