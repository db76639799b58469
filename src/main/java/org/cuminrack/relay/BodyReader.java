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
 * Reads a request body within limits of size and time. Exactly one of the listener's methods is
 * called, on the exchange's I/O thread.
 */
public final class BodyReader {
  private final HttpServerExchange exchange;
  private final int maxBytes;
  private final Listener listener;
  private XnioExecutor.Key timer;
  private boolean done;

  private BodyReader(HttpServerExchange exchange, int maxBytes, Listener listener) {
    this.exchange = exchange;
    this.maxBytes = maxBytes;
    this.listener = listener;
  }

  /** Receives the body or the reason why it could not be read, and ends the exchange. */
  public interface Listener {
    /** The body is complete. */
    void bodyComplete(ByteString body);

    /** The body exceeds the size limit. */
    void bodyTooLarge();

    /** The body was not received before the timeout. */
    void bodyTimedOut();

    /** The connection was lost, or the body could not be read. */
    void callerDisconnected();
  }

  /** Starts reading; must be called on the exchange's I/O thread. */
  public static void read(
      HttpServerExchange exchange,
      int maxBytes,
      Duration timeout,
      IoContext io,
      Listener listener) {
    BodyReader reader = new BodyReader(exchange, maxBytes, listener);
    reader.timer = io.after(timeout.toMillis(), reader::timedOut);
    reader.start();
  }

  private void start() {
    exchange.getRequestReceiver().setMaxBufferSize(maxBytes);
    exchange.getRequestReceiver().receiveFullBytes(this::received, this::failed);
  }

  private void received(HttpServerExchange receivedExchange, byte[] body) {
    if (tryFinish()) {
      ByteString bytes = ByteString.copyFrom(body);
      // Without dispatch, Undertow would end the exchange when this callback returns.
      receivedExchange.dispatch(SameThreadExecutor.INSTANCE, () -> listener.bodyComplete(bytes));
    }
  }

  private void failed(HttpServerExchange failedExchange, IOException cause) {
    if (!tryFinish()) {
      return;
    }
    if (cause instanceof RequestTooBigException
        || cause instanceof Receiver.RequestToLargeException) {
      listener.bodyTooLarge();
    } else {
      listener.callerDisconnected();
    }
  }

  private void timedOut() {
    if (tryFinish()) {
      listener.bodyTimedOut();
    }
  }

  /** Returns false if a listener method has already been called. */
  private boolean tryFinish() {
    timer.remove();
    boolean firstResult = !done;
    done = true;
    return firstResult;
  }
}
