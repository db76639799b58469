package org.cuminrack.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.cuminrack.time.Clock;

/**
 * Writes the response of a generation to the caller as server-sent events. Buffers at most the
 * events of one read from the engine; while any of them are unsent, the listener is notified to
 * stop reading. Confined to the exchange's I/O thread.
 */
final class CallerStream {
  private static final int STATUS_OK = 200;

  /** Idle time after which an SSE comment is sent as a heartbeat. */
  private static final long HEARTBEAT_NANOS = Duration.ofSeconds(1).toNanos();

  private final HttpServerExchange exchange;
  private final CallerSink sink;
  private boolean started;

  CallerStream(HttpServerExchange exchange, Clock clock, CallerSink.Listener listener) {
    this.exchange = exchange;
    this.sink = new CallerSink(exchange, clock, listener);
  }

  /** Returns whether buffered data is waiting for the caller to read. */
  boolean isBlocked() {
    return sink.isBlocked();
  }

  /** Returns whether data is still unsent and the last flush is longer ago than the limit. */
  boolean isBlockedFor(Duration limit) {
    return sink.isBlockedFor(limit);
  }

  /** Buffers one event until the next {@link #flush}. */
  void appendEvent(String id, byte[] data) {
    append("id: ");
    append(id);
    append("\ndata: ");
    sink.append(data);
    append("\n\n");
  }

  /**
   * Sends an SSE comment if the response has started and is idle. The comment tells the caller that
   * the connection is alive, and lets this entry detect a broken one.
   */
  void sendHeartbeatIfIdle() {
    if (sink.isOpen() && !sink.isBlocked() && sink.idleNanos() > HEARTBEAT_NANOS) {
      append(":\n\n");
      flush();
    }
  }

  /** Sends an error event and ends the response. */
  void endWithError(byte[] problem) {
    append("event: error\ndata: ");
    sink.append(problem);
    append("\n\n");
    end();
  }

  /** Sends the end marker of a complete generation and ends the response. */
  void endSuccessfully() {
    append("data: [DONE]\n\n");
    end();
  }

  private void end() {
    startResponse();
    sink.end();
  }

  /** Sends the buffered events, as far as the connection accepts them. */
  void flush() {
    startResponse();
    sink.flush();
  }

  private void startResponse() {
    if (!started) {
      started = true;
      exchange.setStatusCode(STATUS_OK);
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
      exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
    }
  }

  /** Closes the caller's connection. */
  void abort() {
    sink.abort();
  }

  /** Handles the loss of the caller's connection. */
  void callerDisconnected() {
    sink.callerDisconnected();
  }

  private void append(String text) {
    sink.append(text.getBytes(StandardCharsets.UTF_8));
  }
}
