package org.cuminrack.relay;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A TCP proxy between an entry and an upstream. Its open connections can be made silent permanently
 * in both directions, while new connections still work.
 */
final class SilencingProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 8 << 10;

  private final ServerSocket server;
  private final int targetPort;
  private final List<ProxiedConnection> connections = new CopyOnWriteArrayList<>();

  private SilencingProxy(ServerSocket server, int targetPort) {
    this.server = server;
    this.targetPort = targetPort;
  }

  static SilencingProxy to(ScriptedUpstream upstream) throws IOException {
    ServerSocket server = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    SilencingProxy proxy = new SilencingProxy(server, upstream.port());
    run(proxy::accept);
    return proxy;
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Discards all further data on the currently open connections. */
  void silenceOpenConnections() {
    connections.forEach(connection -> connection.silent = true);
  }

  private static void run(Runnable task) {
    Thread thread = new Thread(task, "silent-link");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket clientSide = server.accept();
        Socket upstreamSide = new Socket();
        upstreamSide.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort));
        ProxiedConnection connection = new ProxiedConnection(clientSide, upstreamSide);
        connections.add(connection);
        run(() -> connection.copy(clientSide, upstreamSide));
        run(() -> connection.copy(upstreamSide, clientSide));
      } catch (IOException e) {
        return;
      }
    }
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** One connection through the proxy. */
  private static final class ProxiedConnection {
    private final Socket clientSide;
    private final Socket upstreamSide;
    private volatile boolean silent;

    ProxiedConnection(Socket clientSide, Socket upstreamSide) {
      this.clientSide = clientSide;
      this.upstreamSide = upstreamSide;
    }

    void copy(Socket from, Socket to) {
      byte[] buffer = new byte[BUFFER_BYTES];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
          if (!silent) {
            out.write(buffer, 0, count);
          }
        }
        closeUnlessSilent();
      } catch (IOException e) {
        closeUnlessSilent();
      }
    }

    private void closeUnlessSilent() {
      if (silent) {
        return;
      }
      try {
        clientSide.close();
        upstreamSide.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
