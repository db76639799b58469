package org.cuminrack.relay;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller has closed its connection while its request is in progress. Data that the
 * caller sends meanwhile is kept for its next request; the watcher stops once it fills a buffer.
 * Confined to the exchange's I/O thread.
 */
public final class DisconnectWatcher {
  private final HttpServerConnection connection;
  private final StreamSourceConduit source;
  private final Runnable onDisconnect;

  /** Holds the data of the next request between its position and its limit; null without any. */
  private ByteBuffer kept;

  private boolean done;

  private DisconnectWatcher(HttpServerConnection connection, Runnable onDisconnect) {
    this.connection = connection;
    this.source = connection.getOriginalSourceConduit();
    this.onDisconnect = onDisconnect;
    PooledByteBuffer unread = connection.getExtraBytes();
    this.kept = unread == null ? null : unread.getBuffer();
  }

  /**
   * Starts watching an exchange whose request body has been read. {@code onDisconnect} is called at
   * most once, during this call if the caller has left already.
   *
   * @return a check, to be run before the request is sent, whether the caller has left since; does
   *     nothing if the connection is not HTTP/1
   */
  public static Runnable begin(HttpServerExchange exchange, Runnable onDisconnect) {
    if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
      return () -> {};
    }
    DisconnectWatcher watcher = new DisconnectWatcher(connection, onDisconnect);
    exchange.addExchangeCompleteListener(
        (completed, chain) -> {
          watcher.done = true;
          chain.proceed();
        });
    connection.getChannel().getSourceChannel().setReadListener(channel -> watcher.check());
    watcher.source.resumeReads();
    watcher.check();
    return watcher::check;
  }

  private void check() {
    if (done) {
      return;
    }
    try {
      boolean bufferIsFull = kept != null && kept.limit() == kept.capacity();
      if (bufferIsFull) {
        stop();
      } else if (readFurther() < 0) {
        stop();
        onDisconnect.run();
      }
    } catch (IOException e) {
      // A reset is one of the ways to leave.
      stop();
      onDisconnect.run();
    }
  }

  private void stop() {
    done = true;
    source.suspendReads();
  }

  private int readFurther() throws IOException {
    return kept == null ? readFirst() : readBehindKept();
  }

  private int readFirst() throws IOException {
    PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
    ByteBuffer buffer = pooled.getBuffer();
    int count = 0;
    try {
      count = source.read(buffer);
    } finally {
      if (count > 0) {
        kept = buffer.flip();
        connection.ungetRequestBytes(pooled);
      } else {
        pooled.close();
      }
    }
    return count;
  }

  /** Reads into the buffer that the server reads from, once the exchange has ended. */
  private int readBehindKept() throws IOException {
    int end = kept.limit();
    int count = source.read(kept.duplicate().limit(kept.capacity()).position(end));
    if (count > 0) {
      kept.limit(end + count);
    }
    return count;
  }
}
