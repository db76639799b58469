package org.cuminrack.relay;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * The I/O thread that a caller's exchange lives on, and what is needed to open upstream exchanges
 * on it.
 */
record IoContext(XnioIoThread thread, ByteBufferPool buffers, RelayBounds bounds) {

  static IoContext of(HttpServerExchange exchange, RelayBounds bounds) {
    return new IoContext(
        exchange.getIoThread(), exchange.getConnection().getByteBufferPool(), bounds);
  }

  UpstreamExchange open(UpstreamRequest request, UpstreamListener listener) {
    return UpstreamExchange.open(request, listener, thread, buffers, bounds.connectTimeout());
  }

  void execute(Runnable task) {
    thread.execute(task);
  }

  XnioExecutor.Key after(long delayMillis, Runnable task) {
    return thread.executeAfter(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  XnioExecutor.Key every(long intervalMillis, Runnable task) {
    return thread.executeAtInterval(task, intervalMillis, TimeUnit.MILLISECONDS);
  }
}
