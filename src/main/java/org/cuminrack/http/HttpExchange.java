package org.cuminrack.http;

import com.google.protobuf.ByteString;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** Sends one request over a new connection and receives its response. */
final class HttpExchange {
  private static final int READ_BUFFER_BYTES = 8 << 10;

  private final HttpCall call;
  private final OutgoingConnection connection;
  private final CompletableFuture<Either<HttpFailure, HttpResponse>> response =
      new CompletableFuture<>();
  private final ByteBuffer requestBody;
  private final ByteString.Output responseBody = ByteString.newOutput();

  /** Receives the response's body as it arrives; null if the response is buffered. */
  private final Consumer<ByteString> onBytes;

  private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);

  private HttpExchange(HttpCall call, Consumer<ByteString> onBytes) {
    this.call = call;
    this.connection = OutgoingConnection.to(call.address());
    this.onBytes = onBytes;
    this.requestBody = call.body().asReadOnlyByteBuffer();
  }

  /** Returns an exchange that buffers the complete body of the response. */
  static HttpExchange buffered(HttpCall call) {
    return new HttpExchange(call, null);
  }

  /** Returns an exchange that passes the response's body on as it arrives and buffers nothing. */
  static HttpExchange streamed(HttpCall call, Consumer<ByteString> onBytes) {
    return new HttpExchange(call, onBytes);
  }

  CompletableFuture<Either<HttpFailure, HttpResponse>> response() {
    return response;
  }

  /** Opens the connection, which ends with the response; must be called on the I/O thread. */
  void open(XnioIoThread thread, ByteBufferPool buffers) {
    response.whenComplete((result, failure) -> endConnection(result));
    connection.open(thread, buffers, ClientCallbacks.of(this::connected, this::unreachable));
  }

  private void endConnection(Either<HttpFailure, HttpResponse> result) {
    if (result != null && result.isRight()) {
      connection.close();
    } else {
      connection.abort();
    }
  }

  private void unreachable(IOException cause) {
    response.complete(
        Either.left(new HttpFailure.Unreachable(call.address(), String.valueOf(cause))));
  }

  private void connected(ClientConnection opened) {
    opened.sendRequest(request(), ClientCallbacks.of(this::requestStarted, this::failed));
  }

  private ClientRequest request() {
    ClientRequest request = new ClientRequest();
    request.setMethod(call.method()).setPath(call.path());
    request.getRequestHeaders().putAll(Headers.HOST, List.of(call.address()));
    copy(call.headers(), request.getRequestHeaders());
    request.getRequestHeaders().put(Headers.CONNECTION, "close");
    if (!call.body().isEmpty()) {
      request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().size());
    }
    return request;
  }

  private static void copy(HeaderMap from, HeaderMap to) {
    from.forEach(values -> to.putAll(values.getHeaderName(), values));
  }

  private void requestStarted(ClientExchange exchange) {
    exchange.setResponseListener(ClientCallbacks.of(this::responseStarted, this::failed));
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
      flush(sink);
    } catch (IOException e) {
      failed(e);
    }
  }

  private void flush(StreamSinkChannel sink) throws IOException {
    if (sink.flush()) {
      sink.suspendWrites();
    } else {
      sink.resumeWrites();
    }
  }

  private void responseStarted(ClientExchange exchange) {
    StreamSourceChannel source = exchange.getResponseChannel();
    source.getReadSetter().set(channel -> read(exchange, channel));
    read(exchange, source);
  }

  private void read(ClientExchange exchange, StreamSourceChannel source) {
    try {
      int count = source.read(readBuffer);
      while (count > 0) {
        readBuffer.flip();
        handleReadBytes();
        readBuffer.clear();
        count = source.read(readBuffer);
      }
      if (count < 0) {
        finished(exchange);
      } else {
        source.resumeReads();
      }
    } catch (IOException e) {
      failed(e);
    }
  }

  private void handleReadBytes() {
    if (onBytes == null) {
      responseBody.write(readBuffer.array(), 0, readBuffer.limit());
    } else {
      onBytes.accept(ByteString.copyFrom(readBuffer));
    }
  }

  private void finished(ClientExchange exchange) {
    response.complete(
        Either.right(
            new HttpResponse(
                exchange.getResponse().getResponseCode(),
                exchange.getResponse().getResponseHeaders(),
                responseBody.toByteString())));
  }

  private void failed(IOException cause) {
    response.complete(Either.left(new HttpFailure.NoAnswer(call.address(), cause.toString())));
  }
}
