package org.cuminrack.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.cuminrack.system.TcpTable;
import org.cuminrack.system.TcpTable.State;

/** An upstream on loopback that holds each request in one phase and never ends a connection. */
final class HeldUpstream implements AutoCloseable {
  /** Small, so that a large body is still on its way while the upstream doesn't read it. */
  private static final int RECEIVE_BYTES = 4 << 10;

  private static final int FILL_TIMEOUT_MILLIS = 200;
  private static final int ACCEPT_TIMEOUT_MILLIS = 5;

  private final ServerSocket listener = new ServerSocket();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Socket> connections = new CopyOnWriteArrayList<>();
  private final List<Socket> fillers = new ArrayList<>();
  private final AtomicLong bodyBytes = new AtomicLong();
  private final BlockingQueue<Long> endNanos = new LinkedBlockingQueue<>();
  private volatile Phase phase = Phase.NO_HEAD;
  private final Semaphore accepting = new Semaphore(1);
  private final AtomicInteger held = new AtomicInteger();

  /** How far a request gets. */
  enum Phase {
    CONNECTING(""),
    BODY_HALF_SENT(""),
    NO_HEAD(""),
    WITHIN_RESPONSE("id: 1\ndata: t\n\n"),
    EARLY_ANSWER("id: 1\ndata: t\n\n");

    private final String response;

    Phase(String response) {
      this.response = response;
    }

    boolean readsBody() {
      return this == NO_HEAD || this == WITHIN_RESPONSE;
    }
  }

  HeldUpstream() throws IOException {
    listener.setReceiveBufferSize(RECEIVE_BYTES);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
    listener.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
    threads.execute(this::acceptUntilClosed);
  }

  String address() {
    return "127.0.0.1:" + port();
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Holds the next requests in a phase. */
  void hold(Phase newPhase) throws IOException {
    phase = newPhase;
    held.set(0);
    endNanos.clear();
    bodyBytes.set(0);
    if (newPhase == Phase.CONNECTING) {
      fillBacklog();
    }
  }

  /** Opens connections that are not accepted, until the kernel drops further ones. */
  private void fillBacklog() throws IOException {
    accepting.acquireUninterruptibly();
    Socket next = new Socket();
    try {
      while (true) {
        next.connect(listener.getLocalSocketAddress(), FILL_TIMEOUT_MILLIS);
        fillers.add(next);
        next = new Socket();
      }
    } catch (SocketTimeoutException e) {
      next.close();
    }
  }

  /** Accepts connections again, also those that have waited. */
  void acceptAgain() throws IOException {
    if (phase == Phase.CONNECTING) {
      phase = Phase.NO_HEAD;
      for (Socket filler : fillers) {
        filler.close();
      }
      fillers.clear();
      accepting.release();
    }
  }

  /** Returns how many requests have reached the phase since it was set. */
  int heldRequests() {
    return held.get();
  }

  /** Returns whether a request is in the phase. */
  boolean holdsRequest() {
    return phase == Phase.CONNECTING
        ? TcpTable.countTo(port(), State.SYN_SENT) > 0
        : held.get() > 0;
  }

  /** Waits until the upstream has read the end of the next connection; returns when it did. */
  long awaitEndNanos(Duration timeout) throws InterruptedException {
    Long end = endNanos.poll(timeout.toMillis(), TimeUnit.MILLISECONDS);
    if (end == null) {
      throw new AssertionError("waited " + timeout + " for the end of a connection");
    }
    return end;
  }

  /** Returns how many sockets of requests are open, at this end or on their way here. */
  long openSockets() {
    return TcpTable.countTo(port(), State.SYN_SENT)
        + TcpTable.countAt(port(), State.ESTABLISHED)
        - fillers.size();
  }

  /** Reads what the connections still bring and returns all bytes of bodies that have arrived. */
  long readRest() {
    for (Socket connection : connections) {
      readToEnd(connection);
    }
    return bodyBytes.get();
  }

  private void acceptUntilClosed() {
    while (!listener.isClosed()) {
      accepting.acquireUninterruptibly();
      try {
        Socket connection = listener.accept();
        threads.execute(() -> serve(connection));
      } catch (SocketTimeoutException e) {
        // Looks whether the test fills the backlog.
      } catch (IOException e) {
        // Closed at the end of the test.
        return;
      } finally {
        accepting.release();
      }
    }
  }

  private void serve(Socket connection) {
    try {
      Phase reached = phase;
      Map<String, String> head = readHead(connection.getInputStream());
      int length = Integer.parseInt(head.getOrDefault("Content-Length", "0"));
      if (reached.readsBody()) {
        bodyBytes.addAndGet(connection.getInputStream().readNBytes(length).length);
      }
      if (!reached.response.isEmpty()) {
        OutputStream out = connection.getOutputStream();
        out.write(
            ("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\nAttempt-Id: "
                    + head.get("Attempt-Id")
                    + "\r\n\r\n"
                    + reached.response)
                .getBytes(StandardCharsets.UTF_8));
      }
      connections.add(connection);
      held.incrementAndGet();
      if (reached == Phase.NO_HEAD) {
        readToEnd(connection);
        endNanos.add(System.nanoTime());
      }
    } catch (IOException e) {
      // A connection that brought no request.
    }
  }

  private static Map<String, String> readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("expected a request");
      }
      head.append((char) next);
    }
    return head.toString()
        .lines()
        .filter(line -> line.contains(": "))
        .collect(
            Collectors.toMap(
                line -> line.substring(0, line.indexOf(": ")),
                line -> line.substring(line.indexOf(": ") + 2)));
  }

  private void readToEnd(Socket connection) {
    try (connection) {
      byte[] buffer = new byte[1 << 16];
      for (int count = 0; count >= 0; count = connection.getInputStream().read(buffer)) {
        bodyBytes.addAndGet(count);
      }
    } catch (IOException e) {
      // Reset by the gateway.
    }
    connections.remove(connection);
  }

  @Override
  public void close() throws IOException {
    listener.close();
    acceptAgain();
    for (Socket connection : connections) {
      connection.close();
    }
    threads.shutdownNow();
  }
}
