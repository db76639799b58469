package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;

/** Sends a plain call to one upstream and buffers the complete response. */
final class PlainExchange implements UpstreamListener {
  private final UpstreamRequest request;
  private final Dispatch dispatch;
  private final int maxResponseBytes;
  private final Listener listener;
  private final ByteString.Output body = ByteString.newOutput();
  private UpstreamExchange exchange;
  private int status;
  private HeaderMap headers;
  private boolean mayHaveSentBytes;

  PlainExchange(
      UpstreamRequest request, Dispatch dispatch, int maxResponseBytes, Listener listener) {
    this.request = request;
    this.dispatch = dispatch;
    this.maxResponseBytes = maxResponseBytes;
    this.listener = listener;
  }

  /**
   * Receives the result: exactly one method is called, once, unless the exchange is closed first.
   */
  interface Listener {
    /** The request was not sent. */
    void notSent(NotSentReason reason);

    /** The response is complete and carries the ID of this request. */
    void responded(PlainResponse response);

    /** Bytes may have been sent, and no usable response was received. */
    void failed(PlainFailure failure);
  }

  void start(IoContext io) {
    exchange = io.open(request, this);
  }

  /** Returns whether the upstream may have received the request. */
  boolean mayHaveRun() {
    return mayHaveSentBytes;
  }

  /** Closes the connection; the listener is not called afterwards. */
  void close() {
    exchange.close();
  }

  @Override
  public boolean maySend() {
    boolean permitted = dispatch.maySend();
    mayHaveSentBytes |= permitted;
    return permitted;
  }

  @Override
  public void notSent(NotSentReason reason) {
    listener.notSent(reason);
  }

  @Override
  public void responseStarted(int responseStatus, HeaderMap responseHeaders) {
    status = responseStatus;
    headers = responseHeaders;
    dispatch.responseStarted();
    String expected = request.headers().getFirst(RelayHeaders.REQUEST_ID);
    if (!expected.equals(responseHeaders.getFirst(RelayHeaders.REQUEST_ID))) {
      fail(PlainFailure.WRONG_REQUEST_ID);
    } else if (!ResponseFraming.hasDetectableEnd(request.method(), status, headers)) {
      fail(PlainFailure.BROKEN);
    }
  }

  @Override
  public void bodyReceived(ByteBuffer bytes) {
    if (body.size() + bytes.remaining() > maxResponseBytes) {
      fail(PlainFailure.TOO_LARGE);
      return;
    }
    byte[] copy = new byte[bytes.remaining()];
    bytes.get(copy);
    body.write(copy, 0, copy.length);
  }

  @Override
  public void completed() {
    listener.responded(new PlainResponse(status, headers, body.toByteString()));
  }

  @Override
  public void failed(String detail) {
    listener.failed(PlainFailure.BROKEN);
  }

  private void fail(PlainFailure failure) {
    exchange.close();
    listener.failed(failure);
  }
}
