package org.cuminrack.load;

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
import java.util.function.LongSupplier;
import org.cuminrack.http.ClientCallbacks;
import org.cuminrack.http.Json;
import org.cuminrack.http.OutgoingConnection;
import org.cuminrack.standin.OutputText;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One caller's streamed generation. All state is confined to the connection's I/O thread. */
final class StreamedCall {
  private static final HttpString ORGANISATION = new HttpString("X-Organisation");
  private static final HttpString TIMEOUT_MILLIS = new HttpString("X-Timeout-Millis");
  private static final int READ_BUFFER_BYTES = 16 << 10;

  private final RequestRecord record;
  private final String address;
  private final LongSupplier nowNanos;
  private final ByteBuffer requestBody;
  private final ByteBuffer input = ByteBuffer.allocate(READ_BUFFER_BYTES);
  private final EventReader events;
  private final CompletableFuture<StreamedCall> completion = new CompletableFuture<>();
  private final OutgoingConnection connection;

  /**
   * @param nowNanos returns the time since the start of the plan
   */
  StreamedCall(PlannedRequest request, String address, LongSupplier nowNanos) {
    this.record = new RequestRecord(request);
    this.address = address;
    this.connection = OutgoingConnection.to(address);
    this.nowNanos = nowNanos;
    String prompt = request.prompt();
    this.events = new EventReader(OutputText.of(prompt));
    TrafficClass trafficClass = request.trafficClass();
    GenerationBody body =
        new GenerationBody(
            trafficClass.route(),
            prompt,
            trafficClass.outputLengths().maxTokens(),
            trafficClass.priority().name().toLowerCase(Locale.ROOT),
            true);
    this.requestBody = ByteBuffer.wrap(Json.bytes(body));
  }

  RequestRecord record() {
    return record;
  }

  /** Returns the last parsing or verification error; empty if there is none. */
  String error() {
    return events.error();
  }

  /** Sends the request; the future completes once the call has ended. */
  CompletableFuture<StreamedCall> send(ClientConnections connections) {
    connections.open(connection, ClientCallbacks.of(this::connected, this::failed));
    return completion;
  }

  /** Ends the call if no token has arrived; called when the caller's timeout has passed. */
  void timeOutBeforeFirstToken() {
    if (!record.hasFirstToken()) {
      end(RequestOutcome.TIMED_OUT);
    }
  }

  private void connected(ClientConnection newConnection) {
    record.recordDispatch(address, nowNanos.getAsLong());
    newConnection.getCloseSetter().set(closed -> ended());
    newConnection.sendRequest(request(), ClientCallbacks.of(this::sendBody, this::failed));
    long timeoutMillis = record.request().trafficClass().timeout().toMillis();
    newConnection
        .getIoThread()
        .executeAfter(this::timeOutBeforeFirstToken, timeoutMillis, TimeUnit.MILLISECONDS);
  }

  private ClientRequest request() {
    PlannedRequest planned = record.request();
    ClientRequest request = new ClientRequest();
    request.setMethod(Methods.POST).setPath("/v1/completions");
    HeaderMap headers = request.getRequestHeaders();
    headers.put(Headers.HOST, address);
    headers.put(Headers.CONTENT_TYPE, "application/json");
    headers.put(Headers.CONTENT_LENGTH, requestBody.remaining());
    headers.put(ORGANISATION, planned.organisation());
    headers.put(TIMEOUT_MILLIS, planned.trafficClass().timeout().toMillis());
    return request;
  }

  private void sendBody(ClientExchange exchange) {
    exchange.setResponseListener(ClientCallbacks.of(this::receiveResponse, this::failed));
    StreamSinkChannel sink = exchange.getRequestChannel();
    sink.getWriteSetter().set(this::write);
    write(sink);
  }

  private void write(StreamSinkChannel sink) {
    try {
      while (requestBody.hasRemaining()) {
        if (sink.write(requestBody) == 0) {
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

  private void receiveResponse(ClientExchange exchange) {
    if (exchange.getResponse().getResponseCode() != StatusCodes.OK) {
      end(RequestOutcome.REFUSED);
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
          record.addToken(nowNanos.getAsLong());
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
    end(RequestOutcome.LOST);
  }

  private void ended() {
    end(events.isComplete() ? RequestOutcome.COMPLETED : RequestOutcome.LOST);
  }

  private void end(RequestOutcome outcome) {
    if (!record.isOpen()) {
      return;
    }
    record.setOutcome(outcome);
    completion.complete(this);
    if (outcome == RequestOutcome.COMPLETED) {
      connection.close();
    } else {
      connection.abort();
    }
  }
}
