package org.cuminrack.relay;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.cuminrack.time.Clock;
import org.xnio.channels.StreamSinkChannel;

/**
 * The body of an answer on its way to the caller. Holds what was added and not yet taken; while any
 * of it waits, the owner is told to add no more. Lives on the exchange's I/O thread.
 */
public final class CallerSink {
  private static final int INITIAL_BYTES = 1 << 10;

  private final HttpServerExchange exchange;
  private final Clock clock;
  private final Listener listener;
  private ByteBuffer pending = ByteBuffer.allocate(INITIAL_BYTES);
  private StreamSinkChannel sink;
  private long flushedNanos;
  private boolean blocked;
  private boolean ending;
  private boolean closed;

  public CallerSink(HttpServerExchange exchange, Clock clock, Listener listener) {
    this.exchange = exchange;
    this.clock = clock;
    this.listener = listener;
  }

  /** Hears when the caller takes no more, takes again, or is gone. */
  public interface Listener {
    /** The caller has not taken everything yet. */
    void blocked();

    /** Everything was taken. */
    void drained();

    /** The caller's connection is lost. */
    void gone();
  }

  /** Tells whether the caller has not taken everything yet. */
  public boolean isBlocked() {
    return blocked;
  }

  /** Tells whether the caller has left something untaken for longer than this. */
  public boolean isBlockedFor(Duration bound) {
    return blocked && quietNanos() > bound.toNanos();
  }

  /** Tells whether the answer has begun and its end has not been added. */
  public boolean isOpen() {
    return sink != null && !ending;
  }

  /** Returns how long ago something was last sent. */
  public long quietNanos() {
    return clock.nanoTime() - flushedNanos;
  }

  /** Adds bytes; they leave with the next {@link #flush}. */
  public void append(byte[] bytes) {
    if (pending.remaining() < bytes.length) {
      int capacity = Math.max(pending.capacity() * 2, pending.position() + bytes.length);
      pending = ByteBuffer.allocate(capacity).put(pending.flip());
    }
    pending.put(bytes);
  }

  /** Ends the answer once everything is taken. */
  public void end() {
    ending = true;
    flush();
  }

  /** Sends what was added, as far as the caller takes it. */
  public void flush() {
    if (closed) {
      return;
    }
    begin();
    flushedNanos = clock.nanoTime();
    pending.flip();
    try {
      write();
    } catch (IOException e) {
      callerGone();
      return;
    }
    pending.compact();
    if (blocked) {
      listener.blocked();
    } else if (ending) {
      finish();
    }
  }

  private void begin() {
    if (sink == null) {
      sink = exchange.getResponseChannel();
      sink.getWriteSetter().set(channel -> writable());
    }
  }

  private void write() throws IOException {
    while (pending.hasRemaining()) {
      if (sink.write(pending) == 0) {
        blocked = true;
        sink.resumeWrites();
        return;
      }
    }
    blocked = !sink.flush();
    if (blocked) {
      sink.resumeWrites();
    }
  }

  private void writable() {
    if (closed) {
      return;
    }
    pending.flip();
    try {
      write();
    } catch (IOException e) {
      callerGone();
      return;
    }
    pending.compact();
    if (blocked) {
      return;
    }
    sink.suspendWrites();
    if (ending) {
      finish();
    } else {
      listener.drained();
    }
  }

  private void finish() {
    closed = true;
    exchange.endExchange();
  }

  /** Drops the caller's connection. */
  public void abort() {
    closed = true;
    CallerExchanges.drop(exchange);
  }

  /** The caller has closed its connection. */
  public void callerGone() {
    if (!closed) {
      abort();
      listener.gone();
    }
  }
}
