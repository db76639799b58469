package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.time.Duration;
import org.xnio.XnioExecutor;

/**
 * Reads a caller's body within bounds of size and time; exactly one of the listener's methods is
 * called, on the exchange's I/O thread.
 */
public final class BodyReader {
  private final HttpServerExchange exchange;
  private final int maxBytes;
  private final Listener listener;
  private XnioExecutor.Key timer;
  private boolean over;

  private BodyReader(HttpServerExchange exchange, int maxBytes, Listener listener) {
    this.exchange = exchange;
    this.maxBytes = maxBytes;
    this.listener = listener;
  }

  /** Hears what became of a body. */
  public interface Listener {
    /** The body is whole; the exchange stays open until it is ended. */
    void whole(ByteString body);

    /** The body is larger than it may be. */
    void tooLarge();

    /** The body did not come in time. */
    void tooSlow();

    /** The caller's connection was lost. */
    void gone();
  }

  /** Begins to read; to be called on the exchange's I/O thread. */
  public static void read(
      HttpServerExchange exchange,
      int maxBytes,
      Duration timeout,
      IoContext io,
      Listener listener) {
    BodyReader reader = new BodyReader(exchange, maxBytes, listener);
    reader.timer = io.after(timeout.toMillis(), reader::timeIsOver);
    reader.begin();
  }

  private void begin() {
    exchange.getRequestReceiver().setMaxBufferSize(maxBytes);
    exchange.getRequestReceiver().receiveFullBytes(this::received, this::failed);
  }

  private void received(HttpServerExchange received, byte[] body) {
    if (isFirst()) {
      ByteString bytes = ByteString.copyFrom(body);
      received.dispatch(SameThreadExecutor.INSTANCE, () -> listener.whole(bytes));
    }
  }

  private void failed(HttpServerExchange failed, IOException cause) {
    if (!isFirst()) {
      return;
    }
    if (cause instanceof RequestTooBigException
        || cause instanceof Receiver.RequestToLargeException) {
      listener.tooLarge();
    } else {
      listener.gone();
    }
  }

  private void timeIsOver() {
    if (isFirst()) {
      listener.tooSlow();
    }
  }

  private boolean isFirst() {
    timer.remove();
    boolean first = !over;
    over = true;
    return first;
  }
}
