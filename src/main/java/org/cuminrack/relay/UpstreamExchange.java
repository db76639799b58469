package org.cuminrack.relay;

import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.nio.ByteBuffer;
import org.cuminrack.http.ClientCallbacks;
import org.cuminrack.http.OutgoingConnection;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One request to an upstream over its own connection, with a streamed response. Connections are
 * never reused, so that a silent connection affects only one exchange.
 *
 * <p>Confined to one I/O thread. Exactly one of {@code notSent}, {@code completed} and {@code
 * failed} is called, unless {@link #close} is called first.
 */
public final class UpstreamExchange {
  private static final int READ_BYTES = 16 << 10;

  /** Maximum reads per callback, so that other exchanges on the thread are not starved. */
  private static final int MAX_READS_PER_CALLBACK = 4;

  /** Four times the largest head that callers may send. */
  private static final int MAX_UNPARSED_BYTES = 64 << 10;

  private final UpstreamRequest request;
  private final UpstreamListener listener;
  private final IoContext io;
  private final ByteBuffer requestBody;
  private final ReadLimit readLimit = new ReadLimit(MAX_UNPARSED_BYTES);
  private final OutgoingConnection connection;
  private XnioExecutor.Key connectTimer;
  private StreamSourceChannel source;
  private boolean suspended;
  private boolean mayHaveSentBytes;
  private boolean ended;

  private UpstreamExchange(UpstreamRequest request, UpstreamListener listener, IoContext io) {
    this.request = request;
    this.listener = listener;
    this.io = io;
    this.requestBody = request.body().asReadOnlyByteBuffer();
    this.connection =
        OutgoingConnection.to(request.address())
            .filteredBy(input -> new LimitedSourceConduit(input, readLimit));
  }

  /** Opens an exchange; must be called on its I/O thread. */
  public static UpstreamExchange open(
      UpstreamRequest request, UpstreamListener listener, IoContext io) {
    UpstreamExchange exchange = new UpstreamExchange(request, listener, io);
    exchange.connect();
    return exchange;
  }

  private void connect() {
    long timeoutMillis = io.bounds().connectTimeout().toMillis();
    connectTimer = io.timeout(timeoutMillis, () -> notSent(NotSentReason.NO_CONNECTION));
    connection.open(
        io.thread(), io.buffers(), ClientCallbacks.of(this::connected, this::connectFailed));
  }

  private void connectFailed(IOException cause) {
    if (cause instanceof ConnectException) {
      notSent(NotSentReason.REFUSED);
    } else {
      notSent(
          cause instanceof NoRouteToHostException
              ? NotSentReason.NO_CONNECTION
              : NotSentReason.RESET);
    }
  }

  private void connected(ClientConnection opened) {
    connectTimer.remove();
    if (ended) {
      return;
    }
    if (!listener.maySend()) {
      notSent(NotSentReason.NOT_PERMITTED);
      return;
    }
    mayHaveSentBytes = true;
    opened.sendRequest(clientRequest(), ClientCallbacks.of(this::requestStarted, this::failed));
  }

  private ClientRequest clientRequest() {
    ClientRequest head = new ClientRequest();
    head.setMethod(request.method()).setPath(request.path());
    request
        .headers()
        .forEach(values -> head.getRequestHeaders().putAll(values.getHeaderName(), values));
    if (!head.getRequestHeaders().contains(Headers.HOST)) {
      head.getRequestHeaders().put(Headers.HOST, request.address());
    }
    head.getRequestHeaders().put(Headers.CONNECTION, "close");
    head.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.body().size());
    return head;
  }

  private void requestStarted(ClientExchange exchange) {
    exchange.setResponseListener(ClientCallbacks.of(this::responseStarted, this::failed));
    StreamSinkChannel sink = exchange.getRequestChannel();
    sink.getWriteSetter().set(this::write);
    write(sink);
    if (!ended) {
      listener.sent();
    }
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

  private void responseStarted(ClientExchange exchange) {
    if (ended) {
      return;
    }
    readLimit.recordProgress();
    source = exchange.getResponseChannel();
    source.getReadSetter().set(channel -> read());
    listener.responseStarted(
        exchange.getResponse().getResponseCode(), exchange.getResponse().getResponseHeaders());
    if (!ended && !suspended) {
      read();
    }
  }

  private void read() {
    ByteBuffer buffer = ReadBuffers.get(READ_BYTES);
    try {
      for (int i = 0; i < MAX_READS_PER_CALLBACK && !ended && !suspended; i++) {
        buffer.clear();
        int count = source.read(buffer);
        if (count < 0) {
          completed();
          return;
        }
        if (count == 0) {
          break;
        }
        readLimit.recordProgress();
        listener.bodyReceived(buffer.flip());
      }
      if (!ended && !suspended) {
        source.resumeReads();
      }
    } catch (IOException e) {
      failed(e);
    }
  }

  /** Stops reading the response until {@link #resume}, for backpressure. */
  public void suspend() {
    suspended = true;
    if (source != null) {
      source.suspendReads();
    }
  }

  /** Continues reading the response after {@link #suspend}. */
  public void resume() {
    if (suspended) {
      suspended = false;
      if (source != null && !ended) {
        source.wakeupReads();
      }
    }
  }

  /**
   * Gives the exchange up, unless it has ended: ends the connection, and sends nothing afterwards.
   * The listener is not called again.
   */
  public void close() {
    if (end()) {
      connection.abort();
    }
  }

  /** Returns false if the exchange has ended already. */
  private boolean end() {
    boolean endedNow = !ended;
    ended = true;
    connectTimer.remove();
    return endedNow;
  }

  private void notSent(NotSentReason reason) {
    if (end()) {
      connection.abort();
      listener.notSent(reason);
    }
  }

  private void completed() {
    if (end()) {
      if (requestBody.hasRemaining()) {
        connection.abort();
      } else {
        connection.close();
      }
      listener.completed();
    }
  }

  private void failed(IOException cause) {
    if (end()) {
      connection.abort();
      listener.failed(cause.toString());
    }
  }

  /** Returns whether a byte of the request may have been sent. */
  public boolean mayHaveSentBytes() {
    return mayHaveSentBytes;
  }
}
