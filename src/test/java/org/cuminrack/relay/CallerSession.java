package org.cuminrack.relay;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A caller's connection to an entry: sends requests and reads the responses incrementally. */
final class CallerSession implements Closeable {
  private static final int READ_TIMEOUT_MILLIS = 15_000;

  private final Socket socket;
  private final InputStream in;
  private final Map<String, String> headers = new LinkedHashMap<>();
  private String statusLine = "";
  private String lastChunk = "";

  private CallerSession(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new BufferedInputStream(socket.getInputStream());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
  }

  static CallerSession connectAndSend(int port, CallerHttpRequest request) throws IOException {
    return connectAndSendWithReceiveBuffer(port, request, 0);
  }

  /** Connects with a receive buffer of the given size; 0 leaves the system's default. */
  static CallerSession connectAndSendWithReceiveBuffer(
      int port, CallerHttpRequest request, int receiveBytes) throws IOException {
    Socket socket = new Socket();
    if (receiveBytes > 0) {
      socket.setReceiveBufferSize(receiveBytes);
    }
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    CallerSession session = new CallerSession(socket);
    socket.getOutputStream().write(request.bytes());
    return session;
  }

  /** Sends another request over the same connection. */
  void sendNext(CallerHttpRequest request) throws IOException {
    socket.getOutputStream().write(request.bytes());
  }

  /** Reads the status line and the headers. */
  CallerSession readHead() throws IOException {
    headers.clear();
    statusLine = readLine();
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
    }
    return this;
  }

  int status() {
    return Integer.parseInt(statusLine.substring(9, 12));
  }

  String header(String name) {
    return headers.get(name);
  }

  Map<String, String> headers() {
    return headers;
  }

  /** Reads the rest of the body. */
  String readBody() throws IOException {
    if (headers.containsKey("Content-Length")) {
      int length = Integer.parseInt(headers.get("Content-Length"));
      return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }
    StringBuilder body = new StringBuilder(lastChunk);
    while (readChunk()) {
      body.append(lastChunk);
    }
    return body.toString();
  }

  /** Reads until the body contains the text; returns the part read. */
  String readUntil(String text) throws IOException {
    StringBuilder body = new StringBuilder();
    while (body.indexOf(text) < 0 && readChunk()) {
      body.append(lastChunk);
    }
    lastChunk = "";
    return body.toString();
  }

  private boolean readChunk() throws IOException {
    String size = readLine();
    int length = size.isEmpty() ? 0 : Integer.parseInt(size, 16);
    lastChunk = new String(in.readNBytes(length), StandardCharsets.UTF_8);
    readLine();
    return length > 0;
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.UTF_8);
  }

  /** Resets the connection, as an aborting caller does. */
  void reset() throws IOException {
    try {
      socket.setSoLinger(true, 0);
    } catch (SocketException e) {
      // The connection is already closed.
    }
    socket.close();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
