package org.cuminrack.relay;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.cuminrack.time.Clock;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes a response body to the caller without blocking. Buffers data that the connection has not
 * accepted yet, and notifies the listener when it must stop appending and when it may continue.
 * Confined to the exchange's I/O thread.
 */
public final class CallerSink {
  private static final int INITIAL_BYTES = 1 << 10;

  private final HttpServerExchange exchange;
  private final Clock clock;
  private final Listener listener;
  private ByteBuffer pending = ByteBuffer.allocate(INITIAL_BYTES);
  private StreamSinkChannel sink;
  private long lastFlushNanos;
  private boolean blocked;
  private boolean endRequested;
  private boolean closed;

  public CallerSink(HttpServerExchange exchange, Clock clock, Listener listener) {
    this.exchange = exchange;
    this.clock = clock;
    this.listener = listener;
  }

  /** Receives backpressure and disconnects. */
  public interface Listener {
    /** The connection has not accepted all buffered data. */
    void blocked();

    /** All buffered data was sent. */
    void drained();

    /** The caller's connection was lost. */
    void callerDisconnected();
  }

  /** Returns whether buffered data is waiting for the caller to read. */
  public boolean isBlocked() {
    return blocked;
  }

  /** Returns whether data is still unsent and the last flush is longer ago than the limit. */
  public boolean isBlockedFor(Duration limit) {
    return blocked && idleNanos() > limit.toNanos();
  }

  /** Returns whether the response has started and {@link #end} was not called. */
  public boolean isOpen() {
    return sink != null && !endRequested;
  }

  /** Returns the time since the last flush. */
  public long idleNanos() {
    return clock.nanoTime() - lastFlushNanos;
  }

  /** Buffers bytes until the next {@link #flush}. */
  public void append(byte[] bytes) {
    if (pending.remaining() < bytes.length) {
      int capacity = Math.max(pending.capacity() * 2, pending.position() + bytes.length);
      pending = ByteBuffer.allocate(capacity).put(pending.flip());
    }
    pending.put(bytes);
  }

  /** Ends the response once all buffered data is sent. */
  public void end() {
    endRequested = true;
    flush();
  }

  /** Sends the buffered data, as far as the connection accepts it. */
  public void flush() {
    if (closed) {
      return;
    }
    openResponseChannel();
    lastFlushNanos = clock.nanoTime();
    pending.flip();
    try {
      write();
    } catch (IOException e) {
      callerDisconnected();
      return;
    }
    pending.compact();
    if (blocked) {
      listener.blocked();
    } else if (endRequested) {
      finish();
    }
  }

  private void openResponseChannel() {
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
      callerDisconnected();
      return;
    }
    pending.compact();
    if (blocked) {
      return;
    }
    sink.suspendWrites();
    if (endRequested) {
      finish();
    } else {
      listener.drained();
    }
  }

  private void finish() {
    closed = true;
    exchange.endExchange();
  }

  /** Closes the caller's connection. */
  public void abort() {
    closed = true;
    CallerExchanges.drop(exchange);
  }

  /** Handles the loss of the caller's connection. */
  public void callerDisconnected() {
    if (!closed) {
      abort();
      listener.callerDisconnected();
    }
  }
}
