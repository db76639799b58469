package org.cuminrack.load;

import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.function.Consumer;
import org.cuminrack.lifecycle.ManagedService;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Opens HTTP connections to entries, as callers do. */
final class ClientConnections implements ManagedService {
  private static final int IO_THREADS = 4;
  private static final int BUFFER_BYTES = 16 << 10;

  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
  private XnioWorker worker;

  @Override
  public void start() {
    OptionMap options =
        OptionMap.builder()
            .set(Options.WORKER_IO_THREADS, IO_THREADS)
            .set(Options.WORKER_TASK_CORE_THREADS, 1)
            .set(Options.WORKER_TASK_MAX_THREADS, 1)
            .set(Options.THREAD_DAEMON, true)
            .getMap();
    try {
      worker = Xnio.getInstance().createWorker(options);
    } catch (IOException e) {
      throw new IllegalStateException("cannot create the HTTP worker", e);
    }
  }

  /** Connects to a host and port, then calls one of the two callbacks. */
  void connect(
      String address, Consumer<ClientConnection> onConnected, Consumer<IOException> onFailed) {
    IoFuture<ClientConnection> connecting =
        UndertowClient.getInstance()
            .connect(
                URI.create("http://" + address),
                worker,
                buffers,
                OptionMap.create(Options.TCP_NODELAY, true));
    connecting.addNotifier(
        new IoFuture.HandlingNotifier<ClientConnection, Void>() {
          @Override
          public void handleDone(ClientConnection connection, Void ignored) {
            onConnected.accept(connection);
          }

          @Override
          public void handleFailed(IOException cause, Void ignored) {
            onFailed.accept(cause);
          }
        },
        null);
  }

  @Override
  public void stop() {
    if (worker != null) {
      worker.shutdownNow();
      worker = null;
    }
  }
}
