package org.cuminrack.relay;

import com.google.common.flogger.FluentLogger;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.cuminrack.log.LogEvent;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * The I/O thread of a caller's exchange, with the buffers and timeouts for upstream exchanges on
 * the same thread.
 */
public record IoContext(XnioIoThread thread, ByteBufferPool buffers, RelayBounds bounds) {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  public static IoContext of(HttpServerExchange exchange, RelayBounds bounds) {
    return new IoContext(
        exchange.getIoThread(), exchange.getConnection().getByteBufferPool(), bounds);
  }

  /** Opens an exchange with an upstream on this thread. */
  public UpstreamExchange open(UpstreamRequest request, UpstreamListener listener) {
    return UpstreamExchange.open(request, listener, this);
  }

  /** Runs a task on the thread; drops it if the worker has been shut down. */
  public void execute(Runnable task) {
    try {
      thread.execute(task);
    } catch (RejectedExecutionException e) {
      logDroppedTask();
    }
  }

  /** Runs a task on the thread after a delay; drops it if the worker has been shut down. */
  public XnioExecutor.Key after(long delayMillis, Runnable task) {
    try {
      return thread.executeAfter(task, delayMillis, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      logDroppedTask();
      return () -> false;
    }
  }

  /**
   * Runs a task on the thread after a timeout and after the connections that are ready by then, so
   * that a stall of this process is not taken for the silence of a peer. Call it on the thread.
   */
  public XnioExecutor.Key timeout(long delayMillis, Runnable onTimeout) {
    return Timeout.start(this, delayMillis, onTimeout);
  }

  /** Runs a task periodically on the thread; drops it if the worker has been shut down. */
  public XnioExecutor.Key every(long intervalMillis, Runnable task) {
    try {
      return thread.executeAtInterval(task, intervalMillis, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      logDroppedTask();
      return () -> false;
    }
  }

  private static void logDroppedTask() {
    logger.atFine().log("%s", LogEvent.named("task-dropped-at-stop"));
  }
}
