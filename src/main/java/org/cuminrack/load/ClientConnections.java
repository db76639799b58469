package org.cuminrack.load;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import org.cuminrack.http.OutgoingConnection;
import org.cuminrack.lifecycle.ManagedService;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
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

  /** Opens a connection on one of the I/O threads. */
  void open(OutgoingConnection connection, ClientCallback<ClientConnection> callback) {
    XnioIoThread thread = worker.getIoThread();
    thread.execute(() -> connection.open(thread, buffers, callback));
  }

  @Override
  public void stop() {
    if (worker != null) {
      worker.shutdownNow();
      worker = null;
    }
  }
}
