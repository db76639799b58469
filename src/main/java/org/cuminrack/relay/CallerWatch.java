package org.cuminrack.relay;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller has closed its connection while its answer is not there yet. What a caller
 * sends meanwhile is kept for its next request, and ends the watch.
 */
public final class CallerWatch {
  private final HttpServerConnection connection;
  private final StreamSourceConduit source;
  private final Runnable gone;
  private boolean over;

  private CallerWatch(HttpServerConnection connection, Runnable gone) {
    this.connection = connection;
    this.source = connection.getOriginalSourceConduit();
    this.gone = gone;
  }

  /** Begins to watch an exchange whose body has been read; {@code gone} is called at most once. */
  public static void begin(HttpServerExchange exchange, Runnable gone) {
    if (exchange.getConnection() instanceof HttpServerConnection connection) {
      CallerWatch watch = new CallerWatch(connection, gone);
      exchange.addExchangeCompleteListener(
          (completed, chain) -> {
            watch.over = true;
            chain.proceed();
          });
      connection.getChannel().getSourceChannel().setReadListener(channel -> watch.readable());
      watch.source.resumeReads();
    }
  }

  private void readable() {
    if (over) {
      return;
    }
    PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
    ByteBuffer buffer = pooled.getBuffer();
    int count = read(buffer);
    if (count > 0) {
      over = true;
      source.suspendReads();
      buffer.flip();
      connection.ungetRequestBytes(pooled);
      return;
    }
    pooled.close();
    if (count < 0) {
      over = true;
      source.suspendReads();
      gone.run();
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
