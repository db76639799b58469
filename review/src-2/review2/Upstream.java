package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of one service that announces itself to control and runs requests. */
final class Upstream implements AutoCloseable {
  /** One request as it arrived. */
  record Request(String method, String path, Map<String, String> headers, byte[] body) {
    String id() {
      return headers.getOrDefault("attempt-id", "");
    }
  }

  /** Answers a request. */
  interface Handler {
    void handle(Request request, Connection connection) throws Exception;
  }

  /** The connection of one request. */
  record Connection(Socket socket, InputStream in, OutputStream out) {
    void write(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.UTF_8));
      out.flush();
    }

    void chunk(String text) throws IOException {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      write(Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n");
    }
  }

  final String id;
  final String service;
  private final String zone;
  private final int slots;
  private final long bornMillis = System.currentTimeMillis();
  private final ServerSocket listener;
  private final Handler handler;
  private final Operator announcer;
  private final List<String> control;
  private final AtomicInteger sequence = new AtomicInteger();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile String state = "ready";
  private volatile boolean announces = true;
  private volatile boolean closed;

  Upstream(
      String id,
      String ip,
      String service,
      String zone,
      int slots,
      List<String> control,
      Handler handler)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.control = List.copyOf(control);
    this.announcer = new Operator(this.control, Duration.ofSeconds(1));
    this.handler = handler;
    this.listener = new ServerSocket(0, 512, InetAddress.getByName(ip));
    daemon("accept-" + id, this::accept);
    daemon("announce-" + id, this::announce);
  }

  private static void daemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  private void announce() {
    int first = Math.floorMod(id.hashCode(), control.size());
    while (!closed) {
      if (announces) {
        for (int i = 0; i < control.size() && !beat(control.get((first + i) % control.size())); i++) {
          // The next VM is asked.
        }
      }
      sleep(1200);
    }
  }

  /** Sends one liveness report; returns whether it was acknowledged. */
  boolean beat(String ip) {
    return announcer
        .send(ip, "POST", "/instances/" + id + "/heartbeat", nextReport())
        .map(HttpResponse::statusCode)
        .filter(status -> status == 200)
        .isPresent();
  }

  /** Returns the next liveness report. */
  String nextReport() {
    String engine =
        service.equals("llm")
            ? "\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            : "";
    return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
            + "\",\"cold-left-ms\":0," + engine + "\"call-seq\":" + sequence.incrementAndGet()
            + ",\"born\":" + bornMillis + "}";
  }

  long bornMillis() {
    return bornMillis;
  }

  void announces(boolean value) {
    announces = value;
  }

  void state(String value) {
    state = value;
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        sockets.add(socket);
        daemon("serve-" + id, () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Request request = read(in);
        if (request == null) {
          return;
        }
        if (request.path().equals("/health")) {
          new Connection(socket, in, socket.getOutputStream())
              .write("HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        String expected = request.headers().get("expect-instance");
        Connection connection = new Connection(socket, in, socket.getOutputStream());
        if (expected != null && !expected.equals(id)) {
          connection.write(
              "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nAttempt-Id: "
                  + request.id()
                  + "\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        handler.handle(request, connection);
      }
    } catch (Exception e) {
      // The connection is closed.
    } finally {
      sockets.remove(socket);
    }
  }

  static Request read(InputStream in) throws IOException {
    String line = line(in);
    if (line == null) {
      return null;
    }
    String[] words = line.split(" ");
    Map<String, String> headers = new LinkedHashMap<>();
    while (true) {
      String header = line(in);
      if (header == null) {
        return null;
      }
      if (header.isEmpty()) {
        break;
      }
      int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    return new Request(words[0], words[1], headers, in.readNBytes(length));
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        return null;
      }
      if (next == '\n') {
        String text = bytes.toString(StandardCharsets.UTF_8);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      bytes.write(next);
    }
  }

  /** Answers with the seal of this server and a body. */
  void answer(Request request, Connection connection, String body) throws IOException {
    connection.write(
        "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.id() + "\r\nServer-Seal: seal-" + id + "-"
            + request.id() + "\r\nServer-Load: 1,0," + slots
            + "\r\nContent-Type: text/plain\r\nContent-Length: "
            + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
