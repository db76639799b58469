package org.cuminrack.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An upstream on loopback that writes its responses byte for byte, one a connection. */
final class RawUpstream implements AutoCloseable {
  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

  private final Responder responder;

  RawUpstream(Responder responder) throws IOException {
    this.responder = responder;
    threads.execute(this::acceptUntilClosed);
  }

  /** Writes the response to a request; the connection is closed afterwards. */
  interface Responder {
    void respond(String attemptId, OutputStream out) throws IOException;
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
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
      responder.respond(id, connection.getOutputStream());
    } catch (IOException e) {
      // The request was not sent completely.
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
