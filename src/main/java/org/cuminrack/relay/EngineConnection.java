package org.cuminrack.relay;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.Optional;

/** One connection over which the events of a generation are received. */
final class EngineConnection implements UpstreamListener {
  private static final int MAX_EVENT_BYTES = 64 << 10;

  private final EngineStream stream;
  private final boolean startsGeneration;
  private final EventStreamParser parser;
  private UpstreamExchange exchange;

  EngineConnection(EngineStream stream, boolean startsGeneration) {
    this.stream = stream;
    this.startsGeneration = startsGeneration;
    this.parser = new EventStreamParser(MAX_EVENT_BYTES, this::eventReceived);
  }

  void attach(UpstreamExchange openedExchange) {
    exchange = openedExchange;
  }

  @Override
  public boolean maySend() {
    return !startsGeneration || stream.maySend();
  }

  @Override
  public void sent() {
    if (startsGeneration) {
      stream.sent();
    }
  }

  @Override
  public void notSent(NotSentReason reason) {
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

  private void eventReceived(String id, byte[] data) {
    if (stream.isCurrent(this)) {
      stream.eventReceived(id, data);
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
