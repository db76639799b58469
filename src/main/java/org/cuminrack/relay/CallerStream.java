package org.cuminrack.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.cuminrack.time.Clock;
import org.xnio.channels.StreamSinkChannel;

/**
 * The answer of a generation on its way to the caller, as server-sent events. Holds at most what
 * one read of the engine's stream brought; while any of it waits, the owner is told to read no
 * more. Lives on the exchange's I/O thread.
 */
final class CallerStream {
  private static final HttpString CACHE_CONTROL = Headers.CACHE_CONTROL;
  private static final int STATUS_OK = 200;
  private static final int INITIAL_BYTES = 1 << 10;

  /** How long a caller hears nothing before it is sent a comment. */
  private static final long HEARTBEAT_NANOS = Duration.ofSeconds(1).toNanos();

  private final HttpServerExchange exchange;
  private final Clock clock;
  private final Listener listener;
  private ByteBuffer pending = ByteBuffer.allocate(INITIAL_BYTES);
  private StreamSinkChannel sink;
  private long flushedNanos;
  private boolean blocked;
  private boolean ending;
  private boolean closed;

  CallerStream(HttpServerExchange exchange, Clock clock, Listener listener) {
    this.exchange = exchange;
    this.clock = clock;
    this.listener = listener;
  }

  /** Hears when the caller takes no more, takes again, or is gone. */
  interface Listener {
    /** The caller has not taken everything yet. */
    void blocked();

    /** Everything was taken. */
    void drained();

    /** The caller's connection is lost. */
    void gone();
  }

  /** Tells whether the caller has not taken everything yet. */
  boolean isBlocked() {
    return blocked;
  }

  /** Tells whether the caller has left something untaken for longer than this. */
  boolean isBlockedFor(Duration bound) {
    return blocked && clock.nanoTime() - flushedNanos > bound.toNanos();
  }

  /** Adds one event; it leaves with the next {@link #flush}. */
  void event(String id, byte[] data) {
    append("id: ");
    append(id);
    append("\ndata: ");
    append(data);
    append("\n\n");
  }

  /** Shows a caller of a quiet stream that the connection lives, and this entry that it does. */
  void heartbeat() {
    boolean begun = sink != null && !ending;
    if (begun && !blocked && clock.nanoTime() - flushedNanos > HEARTBEAT_NANOS) {
      append(":\n\n");
      flush();
    }
  }

  /** Adds the typed end of an answer that can't be completed, then ends it. */
  void endWithError(byte[] problem) {
    append("event: error\ndata: ");
    append(problem);
    append("\n\n");
    end();
  }

  /** Adds the end of a whole answer, then ends it. */
  void endWhole() {
    append("data: [DONE]\n\n");
    end();
  }

  private void end() {
    ending = true;
    flush();
  }

  /** Sends what was added, as far as the caller takes it. */
  void flush() {
    if (closed) {
      return;
    }
    begin();
    flushedNanos = clock.nanoTime();
    pending.flip();
    try {
      write();
    } catch (IOException e) {
      gone();
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
    if (sink != null) {
      return;
    }
    exchange.setStatusCode(STATUS_OK);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
    exchange.getResponseHeaders().put(CACHE_CONTROL, "no-store");
    sink = exchange.getResponseChannel();
    sink.getWriteSetter().set(channel -> writable());
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
      gone();
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
  void abort() {
    closed = true;
    CallerExchanges.drop(exchange);
  }

  /** The caller has closed its connection. */
  void abandoned() {
    gone();
  }

  private void gone() {
    if (!closed) {
      abort();
      listener.gone();
    }
  }

  private void append(String text) {
    append(text.getBytes(StandardCharsets.UTF_8));
  }

  private void append(byte[] bytes) {
    if (pending.remaining() < bytes.length) {
      int capacity = Math.max(pending.capacity() * 2, pending.position() + bytes.length);
      pending = ByteBuffer.allocate(capacity).put(pending.flip());
    }
    pending.put(bytes);
  }
}
