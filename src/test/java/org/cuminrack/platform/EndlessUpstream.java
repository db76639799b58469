package org.cuminrack.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/** An upstream on loopback that answers a request with bytes without end. */
final class EndlessUpstream implements AutoCloseable {
  private static final int REPEATS_PER_WRITE = 512;

  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final CountDownLatch closedByClient = new CountDownLatch(1);
  private final AtomicLong sentBytes = new AtomicLong();
  private final String start;
  private final byte[] repeated;

  /**
   * Starts an upstream.
   *
   * @param start sent once for each request; {@code ID} stands for the request's attempt id
   * @param repeated sent again and again until the client closes the connection
   */
  EndlessUpstream(String start, String repeated) throws IOException {
    this.start = start;
    this.repeated = repeated.repeat(REPEATS_PER_WRITE).getBytes(StandardCharsets.US_ASCII);
    threads.execute(this::acceptUntilClosed);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  long sentBytes() {
    return sentBytes.get();
  }

  /** Returns a latch that opens when a client closes a connection on which bytes are being sent. */
  CountDownLatch closedByClient() {
    return closedByClient;
  }

  private void acceptUntilClosed() {
    while (!listener.isClosed()) {
      try {
        Socket connection = listener.accept();
        connections.add(connection);
        threads.execute(() -> serve(connection));
      } catch (IOException e) {
        // Closed at the end of the test.
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      String id = readAttemptId(connection.getInputStream());
      OutputStream out = connection.getOutputStream();
      out.write(start.replace("ID", id).getBytes(StandardCharsets.US_ASCII));
      sendUntilClosed(out);
    } catch (IOException e) {
      // The request was not sent completely.
    }
  }

  private void sendUntilClosed(OutputStream out) {
    try {
      while (true) {
        out.write(repeated);
        sentBytes.addAndGet(repeated.length);
      }
    } catch (IOException e) {
      closedByClient.countDown();
    }
  }

  private static String readAttemptId(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("the connection ended inside the head of a request");
      }
      head.append((char) next);
    }
    return head.toString()
        .lines()
        .filter(line -> line.startsWith("Attempt-Id: "))
        .map(line -> line.substring("Attempt-Id: ".length()))
        .findFirst()
        .orElse("");
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket connection : connections) {
      connection.close();
    }
    threads.shutdownNow();
  }
}
