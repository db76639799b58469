package org.cuminrack.relay;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller has closed its connection while its request is in progress. Data that the
 * caller sends meanwhile is kept for its next request, and stops the watcher.
 */
public final class DisconnectWatcher {
  private final HttpServerConnection connection;
  private final StreamSourceConduit source;
  private final Runnable onDisconnect;
  private boolean done;

  private DisconnectWatcher(HttpServerConnection connection, Runnable onDisconnect) {
    this.connection = connection;
    this.source = connection.getOriginalSourceConduit();
    this.onDisconnect = onDisconnect;
  }

  /**
   * Starts watching an exchange whose request body has been read; does nothing if the connection is
   * not HTTP/1. {@code onDisconnect} is called at most once.
   */
  public static void begin(HttpServerExchange exchange, Runnable onDisconnect) {
    if (exchange.getConnection() instanceof HttpServerConnection connection) {
      DisconnectWatcher watcher = new DisconnectWatcher(connection, onDisconnect);
      exchange.addExchangeCompleteListener(
          (completed, chain) -> {
            watcher.done = true;
            chain.proceed();
          });
      connection.getChannel().getSourceChannel().setReadListener(channel -> watcher.readable());
      watcher.source.resumeReads();
    }
  }

  private void readable() {
    if (done) {
      return;
    }
    PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
    ByteBuffer buffer = pooled.getBuffer();
    int count = read(buffer);
    if (count > 0) {
      done = true;
      source.suspendReads();
      buffer.flip();
      connection.ungetRequestBytes(pooled);
      return;
    }
    pooled.close();
    if (count < 0) {
      done = true;
      source.suspendReads();
      onDisconnect.run();
    }
  }

  private int read(ByteBuffer buffer) {
    try {
      return source.read(buffer);
    } catch (IOException e) {
      return -1;
    }
  }
}
