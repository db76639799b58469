package org.cuminrack.relay;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;

/** A connection to a {@link ScriptedUpstream}: reads one request and sends the response. */
final class ScriptedConnection implements Closeable {
  private final Socket socket;
  private final InputStream in;
  private final OutputStream out;
  private final Map<String, String> headers = new TreeMap<>();
  private String body = "";

  ScriptedConnection(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new BufferedInputStream(socket.getInputStream());
    this.out = socket.getOutputStream();
    socket.setTcpNoDelay(true);
  }

  /** Reads head and body; returns the request line, or an empty string if there is none. */
  String readRequest() throws IOException {
    String requestLine = readLine();
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
    return requestLine;
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  String header(String lowerCaseName) {
    return headers.get(lowerCaseName);
  }

  String body() {
    return body;
  }

  /**
   * Sends a complete response with the ID of the request, unless the headers contain another ID.
   */
  void respond(int status, Map<String, String> extraHeaders, String text) throws IOException {
    StringBuilder head = head(status, extraHeaders);
    String id = headers.get("x-request-id");
    if (id != null && !extraHeaders.containsKey("X-Request-Id")) {
      head.append("X-Request-Id: ").append(id).append("\r\n");
    }
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
    raw(head + text);
  }

  private static StringBuilder head(int status, Map<String, String> extraHeaders) {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Scripted\r\n");
    new TreeMap<>(extraHeaders).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    return head;
  }

  /** Starts the stream of a generation. */
  void beginStream(String generation, String bootId) throws IOException {
    StringBuilder head =
        head(
            200,
            Map.of(
                "Content-Type",
                "text/event-stream",
                "Transfer-Encoding",
                "chunked",
                "X-Generation-Id",
                generation,
                "X-Boot-Id",
                bootId));
    String id = headers.get("x-request-id");
    if (id != null) {
      head.append("X-Request-Id: ").append(id).append("\r\n");
    }
    raw(head + "\r\n");
  }

  void token(String generation, int index) throws IOException {
    event(generation, index, "\"text\":\"word-" + index + " \"");
  }

  void tokens(String generation, int from, int to) throws IOException {
    for (int index = from; index <= to; index++) {
      token(generation, index);
    }
  }

  /** Sends the last token and ends the stream. */
  void finish(String generation, int index) throws IOException {
    event(generation, index, "\"finish_reason\":\"stop\"");
    raw("0\r\n\r\n");
  }

  private void event(String generation, int index, String content) throws IOException {
    String data = "{\"index\":" + index + "," + content + "}";
    chunk("id: " + generation + ":" + index + "\ndata: " + data + "\n\n");
  }

  void chunk(String text) throws IOException {
    int length = text.getBytes(StandardCharsets.UTF_8).length;
    raw(Integer.toHexString(length) + "\r\n" + text + "\r\n");
  }

  void raw(String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  /** Sends nothing and keeps the connection open. */
  void hang() throws IOException {
    while (in.read() >= 0) {
      // Discards the input.
    }
  }

  /** Waits until the test releases the latch. */
  void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Resets the connection, as the operating system does when a process is killed. */
  void reset() {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // The connection is already closed.
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
