package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.nio.ByteBuffer;

/** One sending of a plain call to one upstream, its answer gathered whole. */
final class PlainExchange implements UpstreamListener {
  private static final int STATUS_NO_CONTENT = 204;
  private static final int STATUS_NOT_MODIFIED = 304;

  private final UpstreamRequest request;
  private final Dispatch dispatch;
  private final int maxAnswerBytes;
  private final Listener listener;
  private final ByteString.Output body = ByteString.newOutput();
  private UpstreamExchange exchange;
  private int status;
  private HeaderMap headers;
  private boolean bytesMayHaveLeft;

  PlainExchange(UpstreamRequest request, Dispatch dispatch, int maxAnswerBytes, Listener listener) {
    this.request = request;
    this.dispatch = dispatch;
    this.maxAnswerBytes = maxAnswerBytes;
    this.listener = listener;
  }

  /** Hears how it ended, once. */
  interface Listener {
    /** Nothing was sent. */
    void notSent(NotSent reason);

    /** The answer is whole, and this request's own. */
    void answered(PlainAnswer answer);

    /** Bytes may have been sent and no answer can be had. */
    void failed(PlainFailure failure);
  }

  void begin(IoContext io) {
    exchange = io.open(request, this);
  }

  /** Tells whether the upstream may have seen the request. */
  boolean mayHaveRun() {
    return bytesMayHaveLeft;
  }

  /** Drops the connection; nothing is called any more. */
  void close() {
    exchange.close();
  }

  @Override
  public boolean maySend() {
    boolean may = dispatch.maySend();
    bytesMayHaveLeft |= may;
    return may;
  }

  @Override
  public void notSent(NotSent reason) {
    listener.notSent(reason);
  }

  @Override
  public void answered(int answerStatus, HeaderMap answerHeaders) {
    status = answerStatus;
    headers = answerHeaders;
    dispatch.answerBegan();
    String expected = request.headers().getFirst(RelayHeaders.REQUEST_ID);
    if (!expected.equals(answerHeaders.getFirst(RelayHeaders.REQUEST_ID))) {
      fail(PlainFailure.CROSSED);
    } else if (!showsItsEnd()) {
      fail(PlainFailure.BROKEN);
    }
  }

  /** An answer that only ends with its connection can't be told from one that was cut. */
  private boolean showsItsEnd() {
    HttpString method = request.method();
    return method.equals(Methods.HEAD)
        || status == STATUS_NO_CONTENT
        || status == STATUS_NOT_MODIFIED
        || headers.contains(Headers.CONTENT_LENGTH)
        || headers.contains(Headers.TRANSFER_ENCODING);
  }

  @Override
  public void received(ByteBuffer bytes) {
    if (body.size() + bytes.remaining() > maxAnswerBytes) {
      fail(PlainFailure.TOO_LARGE);
      return;
    }
    byte[] copy = new byte[bytes.remaining()];
    bytes.get(copy);
    body.write(copy, 0, copy.length);
  }

  @Override
  public void completed() {
    listener.answered(new PlainAnswer(status, headers, body.toByteString()));
  }

  @Override
  public void broken(String detail) {
    listener.failed(PlainFailure.BROKEN);
  }

  private void fail(PlainFailure failure) {
    exchange.close();
    listener.failed(failure);
  }
}
