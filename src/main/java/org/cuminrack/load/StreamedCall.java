package org.cuminrack.load;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cuminrack.http.Json;
import org.cuminrack.standin.OutputText;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One caller's generation. All its state belongs to the connection's I/O thread. */
final class StreamedCall {
  private static final HttpString ORGANISATION = new HttpString("X-Organisation");
  private static final HttpString TIMEOUT = new HttpString("X-Timeout-Millis");
  private static final int READ_BYTES = 16 << 10;

  private final RequestRecord record;
  private final String address;
  private final LongSupplier nowNanos;
  private final ByteBuffer toSend;
  private final ByteBuffer input = ByteBuffer.allocate(READ_BYTES);
  private final EventReader events;
  private final CompletableFuture<StreamedCall> over = new CompletableFuture<>();
  private ClientConnection connection;

  /**
   * @param nowNanos the time since the plan's start
   */
  StreamedCall(PlannedRequest request, String address, LongSupplier nowNanos) {
    this.record = new RequestRecord(request);
    this.address = address;
    this.nowNanos = nowNanos;
    String prompt = request.prompt();
    this.events = new EventReader(OutputText.of(prompt));
    TrafficClass trafficClass = request.trafficClass();
    GenerationBody body =
        new GenerationBody(
            trafficClass.route(),
            prompt,
            trafficClass.outputs().maxTokens(),
            trafficClass.priority().name().toLowerCase(Locale.ROOT),
            true);
    this.toSend = ByteBuffer.wrap(Json.bytes(body));
  }

  RequestRecord record() {
    return record;
  }

  /** Returns what was wrong with the answer; empty where nothing was. */
  String fault() {
    return events.fault();
  }

  /** Sends the request; the future completes once the answer is over. */
  CompletableFuture<StreamedCall> send(CallerConnections connections) {
    connections.connect(address, this::connected, this::failed);
    return over;
  }

  /** Gives up if no token has come; the caller's patience is over. */
  void giveUpUnlessBegun() {
    if (connection != null && !record.hasFirstToken()) {
      end(RequestEnd.TIMED_OUT);
    }
  }

  private void connected(ClientConnection to) {
    connection = to;
    record.dispatched(address, nowNanos.getAsLong());
    to.getCloseSetter().set(closed -> ended());
    to.sendRequest(request(), callback(this::sending));
    long waitMillis = record.request().trafficClass().timeout().toMillis();
    to.getIoThread().executeAfter(this::giveUpUnlessBegun, waitMillis, TimeUnit.MILLISECONDS);
  }

  private ClientRequest request() {
    PlannedRequest planned = record.request();
    ClientRequest request = new ClientRequest();
    request.setMethod(Methods.POST).setPath("/v1/completions");
    HeaderMap headers = request.getRequestHeaders();
    headers.put(Headers.HOST, address);
    headers.put(Headers.CONTENT_TYPE, "application/json");
    headers.put(Headers.CONTENT_LENGTH, toSend.remaining());
    headers.put(ORGANISATION, planned.organisation());
    headers.put(TIMEOUT, planned.trafficClass().timeout().toMillis());
    return request;
  }

  private void sending(ClientExchange exchange) {
    exchange.setResponseListener(callback(this::responding));
    StreamSinkChannel sink = exchange.getRequestChannel();
    sink.getWriteSetter().set(this::write);
    write(sink);
  }

  private void write(StreamSinkChannel sink) {
    try {
      while (toSend.hasRemaining()) {
        if (sink.write(toSend) == 0) {
          sink.resumeWrites();
          return;
        }
      }
      sink.shutdownWrites();
      if (sink.flush()) {
        sink.suspendWrites();
      } else {
        sink.resumeWrites();
      }
    } catch (IOException e) {
      failed(e);
    }
  }

  private void responding(ClientExchange exchange) {
    if (exchange.getResponse().getResponseCode() != StatusCodes.OK) {
      end(RequestEnd.REFUSED);
      return;
    }
    StreamSourceChannel source = exchange.getResponseChannel();
    source.getReadSetter().set(this::read);
    read(source);
  }

  private void read(StreamSourceChannel source) {
    try {
      int count = source.read(input);
      while (count > 0) {
        int tokens = events.read(input.array(), input.position());
        for (int i = 0; i < tokens; i++) {
          record.token(nowNanos.getAsLong());
        }
        input.clear();
        count = source.read(input);
      }
      if (count < 0) {
        ended();
      } else {
        source.resumeReads();
      }
    } catch (IOException e) {
      failed(e);
    }
  }

  private void failed(IOException cause) {
    end(RequestEnd.LOST);
  }

  private void ended() {
    end(events.isWhole() ? RequestEnd.WHOLE : RequestEnd.LOST);
  }

  private void end(RequestEnd how) {
    if (!record.isOpen()) {
      return;
    }
    record.ended(how);
    over.complete(this);
    IoUtils.safeClose(connection);
  }

  private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> next) {
    return new ClientCallback<>() {
      @Override
      public void completed(ClientExchange result) {
        next.accept(result);
      }

      @Override
      public void failed(IOException cause) {
        StreamedCall.this.failed(cause);
      }
    };
  }
}
