package org.cuminrack.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.cuminrack.time.Clock;

/**
 * The answer of a generation on its way to the caller, as server-sent events. Holds at most what
 * one read of the engine's stream brought; while any of it waits, the owner is told to read no
 * more. Lives on the exchange's I/O thread.
 */
final class CallerStream {
  private static final int STATUS_OK = 200;

  /** How long a caller hears nothing before it is sent a comment. */
  private static final long HEARTBEAT_NANOS = Duration.ofSeconds(1).toNanos();

  private final HttpServerExchange exchange;
  private final CallerSink sink;
  private boolean begun;

  CallerStream(HttpServerExchange exchange, Clock clock, CallerSink.Listener listener) {
    this.exchange = exchange;
    this.sink = new CallerSink(exchange, clock, listener);
  }

  /** Tells whether the caller has not taken everything yet. */
  boolean isBlocked() {
    return sink.isBlocked();
  }

  /** Tells whether the caller has left something untaken for longer than this. */
  boolean isBlockedFor(Duration bound) {
    return sink.isBlockedFor(bound);
  }

  /** Adds one event; it leaves with the next {@link #flush}. */
  void event(String id, byte[] data) {
    append("id: ");
    append(id);
    append("\ndata: ");
    sink.append(data);
    append("\n\n");
  }

  /** Shows a caller of a quiet stream that the connection lives, and this entry that it does. */
  void heartbeat() {
    if (sink.isOpen() && !sink.isBlocked() && sink.quietNanos() > HEARTBEAT_NANOS) {
      append(":\n\n");
      flush();
    }
  }

  /** Adds the typed end of an answer that can't be completed, then ends it. */
  void endWithError(byte[] problem) {
    append("event: error\ndata: ");
    sink.append(problem);
    append("\n\n");
    end();
  }

  /** Adds the end of a whole answer, then ends it. */
  void endWhole() {
    append("data: [DONE]\n\n");
    end();
  }

  private void end() {
    begin();
    sink.end();
  }

  /** Sends what was added, as far as the caller takes it. */
  void flush() {
    begin();
    sink.flush();
  }

  private void begin() {
    if (!begun) {
      begun = true;
      exchange.setStatusCode(STATUS_OK);
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
      exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
    }
  }

  /** Drops the caller's connection. */
  void abort() {
    sink.abort();
  }

  /** The caller has closed its connection. */
  void abandoned() {
    sink.callerGone();
  }

  private void append(String text) {
    sink.append(text.getBytes(StandardCharsets.UTF_8));
  }
}
