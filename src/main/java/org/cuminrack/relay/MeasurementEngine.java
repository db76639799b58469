package org.cuminrack.relay;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;

/**
 * An engine for measurements: sends the tokens of each stream at a fixed interval, or as fast as
 * the connection accepts them. Each token carries its send time.
 */
final class MeasurementEngine implements HttpHandler {
  static final String BOOT_ID = "measured";
  private static final int MAX_TOKENS_PER_BURST = 64;

  private final int tokensPerStream;
  private final long intervalMillis;
  private final AtomicLong nextGeneration = new AtomicLong();

  /**
   * Creates an engine.
   *
   * @param intervalMillis interval between two tokens, or 0 to send as fast as possible
   */
  MeasurementEngine(int tokensPerStream, long intervalMillis) {
    this.tokensPerStream = tokensPerStream;
    this.intervalMillis = intervalMillis;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) ->
                received.dispatch(SameThreadExecutor.INSTANCE, () -> start(received)));
  }

  private void start(HttpServerExchange exchange) {
    String generation = "g" + nextGeneration.incrementAndGet();
    String requestId = exchange.getRequestHeaders().getFirst(RelayHeaders.REQUEST_ID);
    exchange.getResponseHeaders().put(RelayHeaders.REQUEST_ID, requestId);
    exchange.getResponseHeaders().put(RelayHeaders.GENERATION_ID, generation);
    exchange.getResponseHeaders().put(RelayHeaders.BOOT_ID, BOOT_ID);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
    new Stream(exchange, generation).start();
  }

  /** The stream of one generation. */
  private final class Stream {
    private final HttpServerExchange exchange;
    private final String generation;
    private final StreamSinkChannel sink;
    private ByteBuffer pending = ByteBuffer.allocate(0);
    private XnioExecutor.Key timer = () -> false;
    private int index;

    Stream(HttpServerExchange exchange, String generation) {
      this.exchange = exchange;
      this.generation = generation;
      this.sink = exchange.getResponseChannel();
    }

    void start() {
      sink.getWriteSetter().set(channel -> handleWritable());
      if (intervalMillis > 0) {
        timer =
            exchange
                .getIoThread()
                .executeAtInterval(this::sendToken, intervalMillis, TimeUnit.MILLISECONDS);
        sendToken();
      } else {
        sink.resumeWrites();
      }
    }

    private void sendToken() {
      if (index < tokensPerStream && !pending.hasRemaining()) {
        pending = bytes(nextEvent());
        write();
      }
    }

    private void handleWritable() {
      if (!pending.hasRemaining() && index < tokensPerStream && intervalMillis == 0) {
        pending = bytes(nextBurst());
      }
      write();
    }

    private String nextBurst() {
      StringBuilder events = new StringBuilder();
      for (int i = 0; i < MAX_TOKENS_PER_BURST && index < tokensPerStream; i++) {
        events.append(nextEvent());
      }
      return events.toString();
    }

    private String nextEvent() {
      String content =
          index == tokensPerStream - 1 ? "\"finish_reason\":\"stop\"" : "\"text\":\"word \"";
      String event =
          "id: "
              + generation
              + ":"
              + index
              + "\ndata: {\"index\":"
              + index
              + ","
              + content
              + ",\"sent_nanos\":"
              + System.nanoTime()
              + "}\n\n";
      index++;
      return event;
    }

    private void write() {
      try {
        int count = 1;
        while (pending.hasRemaining() && count > 0) {
          count = sink.write(pending);
        }
        boolean sent = !pending.hasRemaining() && sink.flush();
        if (sent && index == tokensPerStream) {
          timer.remove();
          exchange.endExchange();
        } else if (sent && intervalMillis > 0) {
          sink.suspendWrites();
        } else {
          sink.resumeWrites();
        }
      } catch (IOException e) {
        timer.remove();
        IoUtils.safeClose(exchange.getConnection());
      }
    }
  }

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
  }
}
