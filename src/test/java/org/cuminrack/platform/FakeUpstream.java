package org.cuminrack.platform;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** An upstream of the platform on loopback with scripted responses. */
final class FakeUpstream implements AutoCloseable {
  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  final List<String> requests = new CopyOnWriteArrayList<>();
  private volatile Script script = FakeUpstream::sendPlainBody;

  /** Answers one request. */
  interface Script {
    void respond(HttpExchange exchange) throws IOException, InterruptedException;
  }

  FakeUpstream() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  FakeUpstream withScript(Script newScript) {
    script = newScript;
    return this;
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private void handle(HttpExchange exchange) throws IOException {
    requests.add(
        exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + headers(exchange));
    String id = exchange.getRequestHeaders().getFirst("Attempt-Id");
    if (id != null) {
      exchange.getResponseHeaders().set("Attempt-Id", id);
      exchange.getResponseHeaders().set("Server-Seal", "seal-" + id);
    }
    try {
      script.respond(exchange);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String headers(HttpExchange exchange) {
    StringBuilder text = new StringBuilder();
    exchange
        .getRequestHeaders()
        .forEach((name, values) -> text.append(name).append('=').append(values.get(0)).append(' '));
    return text.toString();
  }

  static void sendPlainBody(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    byte[] body = "whole answer".getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(200, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  /**
   * Returns a script that sends the events with the ids from first to last and completes the
   * stream.
   */
  static Script streaming(int first, int last) {
    return exchange -> {
      OutputStream out = startStream(exchange);
      writeEvents(out, first, last);
      exchange.close();
    };
  }

  /** Returns a script that sends such events with a pause after each, and completes the stream. */
  static Script streamingSlowly(Duration pause, int first, int last) {
    CountDownLatch never = new CountDownLatch(1);
    return exchange -> {
      OutputStream out = startStream(exchange);
      for (int id = first; id <= last; id++) {
        writeEvents(out, id, id);
        if (id < last) {
          never.await(pause.toMillis(), TimeUnit.MILLISECONDS);
        }
      }
      exchange.close();
    };
  }

  /**
   * Returns a script that sends the events with the ids from first to last, waits for the latch,
   * and drops the connection.
   */
  static Script dropConnectionAfter(int first, int last, CountDownLatch latch) {
    return exchange -> {
      OutputStream out = startStream(exchange);
      writeEvents(out, first, last);
      latch.await();
      // The server drops the connection when a handler throws.
      throw new IOException("connection dropped by the script");
    };
  }

  private static OutputStream startStream(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
    exchange.sendResponseHeaders(200, 0);
    return exchange.getResponseBody();
  }

  private static void writeEvents(OutputStream out, int first, int last) throws IOException {
    for (int id = first; id <= last; id++) {
      out.write(("id: " + id + "\ndata: t" + id + "\n\n").getBytes(StandardCharsets.UTF_8));
      out.flush();
    }
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
