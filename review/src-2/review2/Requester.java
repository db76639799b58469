package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Sends requests and reads answers as they come over the socket. */
final class Requester {
  /** An answer; status 0 if the connection ended before its head. */
  record Answer(int status, Map<String, String> headers, byte[] body, boolean complete) {
    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private Requester() {}

  static Socket open(String ip, int timeoutMillis) throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress(ip, Deployment.CALLER_PORT), 1000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMillis);
    return socket;
  }

  static byte[] head(
      String method, String path, String id, long deadlineMillis, int length, String more) {
    return (method + " " + path + " HTTP/1.1\r\nHost: " + Manifest.HOST + "\r\nAttempt-Id: " + id
            + "\r\nDeadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + Manifest.KEY
            + "\r\n" + (length >= 0 ? "Content-Length: " + length + "\r\n" : "") + more + "\r\n")
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Sends a request over a new connection; status 0 if that fails. */
  static Answer call(
      String ip, String method, String path, String id, long deadlineMillis, byte[] body,
      String more) {
    try (Socket socket = open(ip, (int) deadlineMillis + 500)) {
      socket
          .getOutputStream()
          .write(head(method, path, id, deadlineMillis, body == null ? -1 : body.length, more));
      if (body != null) {
        socket.getOutputStream().write(body);
      }
      return read(new BufferedInputStream(socket.getInputStream()));
    } catch (IOException e) {
      return new Answer(0, Map.of("error", e.toString()), new byte[0], false);
    }
  }

  static Answer read(InputStream in) throws IOException {
    String line = Upstream.line(in);
    if (line == null) {
      return new Answer(0, Map.of("error", "closed"), new byte[0], false);
    }
    int status = Integer.parseInt(line.split(" ")[1]);
    Map<String, String> headers = new LinkedHashMap<>();
    for (String header = Upstream.line(in); ; header = Upstream.line(in)) {
      if (header == null) {
        return new Answer(status, headers, new byte[0], false);
      }
      if (header.isEmpty()) {
        break;
      }
      int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
    }
    if (headers.containsKey("content-length")) {
      int length = Integer.parseInt(headers.get("content-length"));
      byte[] body = in.readNBytes(length);
      return new Answer(status, headers, body, body.length == length);
    }
    if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
      return readChunks(in, status, headers);
    }
    return new Answer(status, headers, in.readAllBytes(), true);
  }

  private static Answer readChunks(InputStream in, int status, Map<String, String> headers) {
    var body = new java.io.ByteArrayOutputStream();
    try {
      while (true) {
        String size = Upstream.line(in);
        if (size == null || size.isEmpty()) {
          return new Answer(status, headers, body.toByteArray(), false);
        }
        int length = Integer.parseInt(size.strip(), 16);
        byte[] chunk = in.readNBytes(length);
        body.writeBytes(chunk);
        if (chunk.length < length || Upstream.line(in) == null) {
          return new Answer(status, headers, body.toByteArray(), false);
        }
        if (length == 0) {
          return new Answer(status, headers, body.toByteArray(), true);
        }
      }
    } catch (IOException e) {
      return new Answer(status, headers, body.toByteArray(), false);
    }
  }
}
