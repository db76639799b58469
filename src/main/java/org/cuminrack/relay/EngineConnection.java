package org.cuminrack.relay;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.Optional;

/** One connection over which a generation is read. */
final class EngineConnection implements UpstreamListener {
  private static final int MAX_EVENT_BYTES = 64 << 10;

  private final EngineStream stream;
  private final boolean first;
  private final EventStreamParser parser;
  private UpstreamExchange exchange;

  EngineConnection(EngineStream stream, boolean first) {
    this.stream = stream;
    this.first = first;
    this.parser = new EventStreamParser(MAX_EVENT_BYTES, this::event);
  }

  void attach(UpstreamExchange opened) {
    exchange = opened;
  }

  @Override
  public boolean maySend() {
    return !first || stream.maySend();
  }

  @Override
  public void sent() {
    if (first) {
      stream.sent();
    }
  }

  @Override
  public void notSent(NotSent reason) {
    if (stream.isCurrent(this)) {
      stream.notSent(reason);
    }
  }

  @Override
  public void responseStarted(int status, HeaderMap headers) {
    if (stream.isCurrent(this)) {
      stream.responseStarted(status, headers);
    }
  }

  @Override
  public void bodyReceived(ByteBuffer bytes) {
    if (!stream.isCurrent(this)) {
      return;
    }
    Optional<String> malformed = parser.feed(bytes);
    if (malformed.isPresent() && stream.isCurrent(this)) {
      stream.connectionBroken();
    }
    stream.readCompleted();
  }

  private void event(String id, byte[] data) {
    if (stream.isCurrent(this)) {
      stream.event(id, data);
    }
  }

  @Override
  public void completed() {
    failed("ended early");
  }

  @Override
  public void failed(String detail) {
    if (stream.isCurrent(this)) {
      stream.connectionBroken();
    }
  }

  void suspend() {
    exchange.suspend();
  }

  void resume() {
    exchange.resume();
  }

  void close() {
    if (exchange != null) {
      exchange.close();
    }
  }
}
