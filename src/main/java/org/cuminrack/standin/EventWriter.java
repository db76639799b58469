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
 * Writes a generation's events to one connection as they are produced. All state is confined to the
 * connection's I/O thread.
 */
final class EventWriter {
  private static final int MAX_EVENTS_PER_WRITE = 64;

  private final HttpServerExchange exchange;
  private final GenerationLog log;
  private final BehaviourHolder behaviour;
  private final Clock clock;
  private final boolean isFirstStream;
  private final Runnable onNewEvents = this::scheduleWrite;
  private StreamSinkChannel channel;
  private ByteBuffer buffer = ByteBuffer.allocate(0);
  private int nextIndex;
  private int sentEvents;
  private boolean ended;
  private boolean closed;

  EventWriter(
      HttpServerExchange exchange,
      GenerationLog log,
      int afterIndex,
      BehaviourHolder behaviour,
      Clock clock) {
    this.exchange = exchange;
    this.log = log;
    this.nextIndex = afterIndex + 1;
    this.isFirstStream = afterIndex < 0;
    this.behaviour = behaviour;
    this.clock = clock;
  }

  /** Starts writing; must be called on the I/O thread. */
  void start() {
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
    channel = exchange.getResponseChannel();
    channel.getWriteSetter().set(ignored -> writePending());
    exchange.getConnection().addCloseListener(ignored -> close());
    log.addReader(onNewEvents);
    writePending();
  }

  private void scheduleWrite() {
    exchange.getIoThread().execute(this::writePending);
  }

  private void writePending() {
    if (closed || behaviour.current().silent()) {
      return;
    }
    try {
      writeAndFlush();
    } catch (IOException e) {
      abort();
    }
  }

  private void writeAndFlush() throws IOException {
    while (buffer.hasRemaining() || fillBuffer()) {
      if (channel.write(buffer) == 0) {
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
      close();
    }
  }

  /** Fills the buffer with the next events; returns false if there is nothing to write. */
  private boolean fillBuffer() {
    if (log.isLost()) {
      abort();
      return false;
    }
    StringBuilder text = new StringBuilder();
    int size = Math.min(log.size(), nextIndex + MAX_EVENTS_PER_WRITE);
    while (nextIndex < size && !closed) {
      appendNextEvent(text);
    }
    buffer = ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.UTF_8));
    return buffer.hasRemaining() && !closed;
  }

  private void appendNextEvent(StringBuilder text) {
    Behaviour current = behaviour.current();
    if (current.dropAfterTokens() > 0 && sentEvents >= current.dropAfterTokens()) {
      abort();
      return;
    }
    String event = log.eventText(nextIndex);
    boolean isEnd = log.isEndEvent(nextIndex);
    nextIndex++;
    sentEvents++;
    if (isEnd) {
      ended = true;
      text.append(event);
      return;
    }
    if (!(isFirstStream && isNth(current.gapEvery()))) {
      text.append(event);
    }
    if (isNth(current.duplicateEvery())) {
      text.append(event);
    }
  }

  private boolean isNth(int n) {
    return n > 0 && sentEvents % n == 0;
  }

  private void abort() {
    close();
    IoUtils.safeClose(exchange.getConnection());
  }

  private void close() {
    closed = true;
    log.removeReader(onNewEvents, clock.nanoTime());
  }
}
