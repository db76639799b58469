import java.io.BufferedOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A server as the users' pages describe it: sends heartbeats, answers 421 to requests for another
 * id, echoes the attempt id and adds a seal. Its answers are given by a handler.
 */
final class Server implements AutoCloseable {
  /** A request as it arrived. */
  record Request(String method, String path, Map<String, String> headers, byte[] body) {}

  /** Writes an answer; the connection is closed when it returns. */
  interface Handler {
    void handle(Request request, Socket socket, OutputStream out) throws Exception;
  }

  final String id;
  final String address;
  private final Deployment deployment;
  private final String service;
  private final String zone;
  private final int slots;
  private final Handler handler;
  private final long born = System.currentTimeMillis();
  private final ServerSocket listener = new ServerSocket();
  private long sequence;
  private volatile String state = "ready";
  private volatile boolean closed;

  Server(Deployment deployment, int number, String service, int slots, Handler handler)
      throws IOException {
    this.deployment = deployment;
    this.id = "i-" + service + number;
    this.service = service;
    this.zone = Deployment.zone(number);
    this.slots = slots;
    this.handler = handler;
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getByName(deployment.serverIp(number)), 0),
        256);
    this.address = deployment.serverIp(number) + ":" + listener.getLocalPort();
    Deployment.daemon(this::accept);
    Deployment.daemon(this::beat);
  }

  /** Reports draining from now on; returns when that is acknowledged. */
  void drain() throws InterruptedException {
    state = "draining";
    while (!sendBeat()) {
      Thread.sleep(50);
    }
  }

  private void beat() {
    try {
      while (!closed) {
        sendBeat();
        Thread.sleep(1200);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized boolean sendBeat() {
    for (int i = 0; i < 3; i++) {
      sequence++;
      String body =
          "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
              + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
              + "\",\"cold-left-ms\":0,\"stage\":\"both\",\"models\":[],\"call-seq\":" + sequence
              + ",\"born\":" + born + "}";
      try {
        int status = Http.call(
            deployment.controlAddress((int) ((sequence + i) % Deployment.CONTROLS)), "POST",
            "/cuminrack/instances/" + id + "/heartbeat", body.getBytes(StandardCharsets.UTF_8),
            1000, "Connection: close", "Content-Type: application/json").status();
        if (status == 200) {
          return true;
        }
      } catch (IOException e) {
        // The next control process is asked.
      }
    }
    return false;
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        Deployment.daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = socket.getInputStream();
      String[] requestLine = Http.line(in).split(" ");
      Map<String, String> headers = new HashMap<>();
      for (String next = Http.line(in); !next.isEmpty(); next = Http.line(in)) {
        int colon = next.indexOf(':');
        headers.put(next.substring(0, colon).toLowerCase(Locale.ROOT),
            next.substring(colon + 1).strip());
      }
      byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
      OutputStream out = new BufferedOutputStream(socket.getOutputStream());
      Request request = new Request(requestLine[0], requestLine[1], headers, body);
      String expected = headers.get("expect-instance");
      if (expected != null && !expected.equals(id)) {
        answer(out, 421, "Not-Executed: 1\r\n", new byte[0]);
      } else {
        handler.handle(request, socket, out);
      }
      out.flush();
    } catch (EOFException e) {
      // A connection without a request.
    } catch (Exception e) {
      deployment.log("server " + id + ": " + e);
    }
  }

  static String sealed(Request request) {
    String attempt = request.headers().get("attempt-id");
    return "Attempt-Id: " + attempt + "\r\nServer-Seal: seal-" + attempt + "\r\n";
  }

  static void answer(OutputStream out, int status, String headers, byte[] body)
      throws IOException {
    out.write(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length
        + "\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
  }
}
