package org.cuminrack.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.cuminrack.time.Clock;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes a generation's events to one connection as they come. All its state belongs to the
 * connection's I/O thread.
 */
final class EventWriter {
  private static final int MAX_EVENTS_AT_ONCE = 64;

  private final HttpServerExchange exchange;
  private final GenerationLog log;
  private final BehaviourHolder behaviour;
  private final Clock clock;
  private final boolean firstStream;
  private final Runnable wake = this::wake;
  private StreamSinkChannel channel;
  private ByteBuffer pending = ByteBuffer.allocate(0);
  private int next;
  private int sent;
  private boolean ended;
  private boolean closed;

  EventWriter(
      HttpServerExchange exchange,
      GenerationLog log,
      int after,
      BehaviourHolder behaviour,
      Clock clock) {
    this.exchange = exchange;
    this.log = log;
    this.next = after + 1;
    this.firstStream = after < 0;
    this.behaviour = behaviour;
    this.clock = clock;
  }

  /** Begins to write; called on the I/O thread. */
  void start() {
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
    channel = exchange.getResponseChannel();
    channel.getWriteSetter().set(ignored -> pump());
    exchange.getConnection().addCloseListener(ignored -> finish());
    log.addReader(wake);
    pump();
  }

  private void wake() {
    exchange.getIoThread().execute(this::pump);
  }

  private void pump() {
    if (closed || behaviour.now().silent()) {
      return;
    }
    try {
      writeAll();
    } catch (IOException e) {
      breakOff();
    }
  }

  private void writeAll() throws IOException {
    while (pending.hasRemaining() || fill()) {
      if (channel.write(pending) == 0) {
        channel.resumeWrites();
        return;
      }
    }
    if (closed) {
      return;
    }
    if (ended) {
      channel.shutdownWrites();
    }
    if (!channel.flush()) {
      channel.resumeWrites();
      return;
    }
    channel.suspendWrites();
    if (ended) {
      finish();
    }
  }

  private boolean fill() {
    if (log.isLost()) {
      breakOff();
      return false;
    }
    StringBuilder text = new StringBuilder();
    int size = Math.min(log.size(), next + MAX_EVENTS_AT_ONCE);
    while (next < size && !closed) {
      addEvent(text);
    }
    pending = ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.UTF_8));
    return pending.hasRemaining() && !closed;
  }

  private void addEvent(StringBuilder text) {
    Behaviour now = behaviour.now();
    if (now.dropAfterTokens() > 0 && sent >= now.dropAfterTokens()) {
      breakOff();
      return;
    }
    String event = log.event(next);
    boolean isEnd = log.isEnd(next);
    next++;
    sent++;
    if (isEnd) {
      ended = true;
      text.append(event);
      return;
    }
    if (!(firstStream && isEvery(now.gapEvery()))) {
      text.append(event);
    }
    if (isEvery(now.duplicateEvery())) {
      text.append(event);
    }
  }

  private boolean isEvery(int count) {
    return count > 0 && sent % count == 0;
  }

  private void breakOff() {
    finish();
    IoUtils.safeClose(exchange.getConnection());
  }

  private void finish() {
    closed = true;
    log.removeReader(wake, clock.nanoTime());
  }
}
