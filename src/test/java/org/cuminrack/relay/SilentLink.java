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
 * A link between an entry and an upstream whose open connections can go silent for good, both ways,
 * while new ones work.
 */
final class SilentLink implements AutoCloseable {
  private static final int BUFFER_BYTES = 8 << 10;

  private final ServerSocket server;
  private final int targetPort;
  private final List<Pipe> pipes = new CopyOnWriteArrayList<>();

  private SilentLink(ServerSocket server, int targetPort) {
    this.server = server;
    this.targetPort = targetPort;
  }

  static SilentLink to(ScriptedUpstream upstream) throws IOException {
    ServerSocket server = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    SilentLink link = new SilentLink(server, upstream.port());
    run(link::accept);
    return link;
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Swallows whatever comes over the connections that are open now. */
  void silenceOpenConnections() {
    pipes.forEach(each -> each.silent = true);
  }

  private static void run(Runnable task) {
    Thread thread = new Thread(task, "silent-link");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket near = server.accept();
        Socket far = new Socket();
        far.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort));
        Pipe pipe = new Pipe(near, far);
        pipes.add(pipe);
        run(() -> pipe.copy(near, far));
        run(() -> pipe.copy(far, near));
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

  /** One connection through the link. */
  private static final class Pipe {
    private final Socket near;
    private final Socket far;
    private volatile boolean silent;

    Pipe(Socket near, Socket far) {
      this.near = near;
      this.far = far;
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
        end();
      } catch (IOException e) {
        end();
      }
    }

    private void end() {
      if (silent) {
        return;
      }
      try {
        near.close();
        far.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
