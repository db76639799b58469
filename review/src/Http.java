import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A minimal HTTP/1.1 client: one request on one new connection. */
final class Http {
  private Http() {}

  /**
   * A response.
   *
   * @param complete whether the body ended as its framing says
   */
  record Response(int status, Map<String, String> headers, byte[] body, boolean complete) {
    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Sends a request and reads the response to its end; header lines are passed as they stand. */
  static Response call(
      String address, String method, String path, byte[] body, int timeoutMillis, String... headers)
      throws IOException {
    try (Socket socket = connect(address, timeoutMillis)) {
      send(socket, address, method, path, body, headers);
      return read(socket.getInputStream());
    }
  }

  static Socket connect(String address, int timeoutMillis) throws IOException {
    int colon = address.lastIndexOf(':');
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMillis);
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        Math.min(1000, timeoutMillis));
    return socket;
  }

  static void send(
      Socket socket, String address, String method, String path, byte[] body, String... headers)
      throws IOException {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    boolean hasHost = false;
    for (String header : headers) {
      head.append(header).append("\r\n");
      hasHost |= header.toLowerCase(Locale.ROOT).startsWith("host:");
    }
    if (!hasHost) {
      head.append("Host: ").append(address).append("\r\n");
    }
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    OutputStream out = socket.getOutputStream();
    out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
  }

  static Response read(InputStream in) throws IOException {
    String statusLine = line(in);
    int status = Integer.parseInt(statusLine.split(" ")[1]);
    Map<String, String> headers = new LinkedHashMap<>();
    for (String next = line(in); !next.isEmpty(); next = line(in)) {
      int colon = next.indexOf(':');
      headers.put(
          next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).strip());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete;
    try {
      complete = readBody(in, headers, body);
    } catch (IOException e) {
      complete = false;
    }
    return new Response(status, headers, body.toByteArray(), complete);
  }

  private static boolean readBody(
      InputStream in, Map<String, String> headers, ByteArrayOutputStream body) throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
      while (true) {
        int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
        copy(in, body, size);
        line(in);
        if (size == 0) {
          return true;
        }
      }
    }
    if (headers.containsKey("content-length")) {
      copy(in, body, Integer.parseInt(headers.get("content-length")));
      return true;
    }
    in.transferTo(body);
    return true;
  }

  private static void copy(InputStream in, ByteArrayOutputStream body, int size)
      throws IOException {
    byte[] buffer = new byte[8192];
    int left = size;
    while (left > 0) {
      int count = in.read(buffer, 0, Math.min(left, buffer.length));
      if (count < 0) {
        throw new EOFException();
      }
      body.write(buffer, 0, count);
      left -= count;
    }
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException();
      }
      if (next == '\n') {
        return text.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      }
      text.write(next);
    }
  }
}
