package org.cuminrack.gateway;

import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.cuminrack.relay.NotSent;
import org.cuminrack.relay.UpstreamExchange;
import org.cuminrack.relay.UpstreamListener;

/** One sending of a generation to one engine. Lives on one I/O thread. */
final class EngineSending implements UpstreamListener {
  private static final int STATUS_OK = 200;
  private static final int STATUS_REDIRECT = 300;
  private static final int MAX_EVENT_BYTES = 64 << 10;

  private final GatewayContext context;
  private final GatewayCall call;
  private final Reservation place;
  private final Optional<Reservation> copy;
  private final Optional<ResumePoint> resumedFrom;
  private final Listener listener;
  private final EventSplitter splitter;
  private final ByteString.Output refusal = ByteString.newOutput();
  private UpstreamExchange exchange;
  private AnswerHead answer;
  private HeaderMap headers;
  private int status;
  private boolean sent;
  private boolean closed;

  private EngineSending(
      GatewayContext context,
      GatewayCall call,
      Reservation place,
      Optional<Reservation> copy,
      Optional<ResumePoint> resumedFrom,
      Listener listener) {
    this.context = context;
    this.call = call;
    this.place = place;
    this.copy = copy;
    this.resumedFrom = resumedFrom;
    this.listener = listener;
    this.splitter = new EventSplitter(MAX_EVENT_BYTES, listener::event);
  }

  /** Hears how the sending goes; one of the last four methods ends it. */
  interface Listener {
    /** The head of a stream is there. */
    void streamBegan(int status, HeaderMap headers);

    /** A whole event. */
    void event(String id, byte[] bytes);

    /** All whole events of one read were told. */
    void eventsRead();

    /** Nothing was sent, or another upstream has the address. */
    void notSent(EngineSending sending);

    /** The engine answered with something else than a stream. */
    void refused(EngineSending sending, RefusedAnswer answer);

    /** The stream is whole. */
    void streamEnded(EngineSending sending);

    /** The engine, or the way to it, is lost. */
    void lost(EngineSending sending, String detail);
  }

  /** An answer that is no stream. */
  record RefusedAnswer(int status, HeaderMap headers, ByteString body, boolean notRun) {}

  /** Begins to send. */
  static EngineSending open(
      GatewayContext context,
      GatewayCall call,
      Reservation place,
      Optional<Reservation> copy,
      Optional<ResumePoint> resumedFrom,
      Listener listener) {
    EngineSending sending = new EngineSending(context, call, place, copy, resumedFrom, listener);
    Optional<String> backupAddress = copy.map(each -> each.upstream().address());
    sending.exchange =
        call.io().open(call.requestTo(place.upstream(), backupAddress, resumedFrom), sending);
    return sending;
  }

  Reservation place() {
    return place;
  }

  Optional<Reservation> copy() {
    return copy;
  }

  boolean isResumed() {
    return resumedFrom.isPresent();
  }

  /** Tells whether the engine may have seen the request. */
  boolean isSent() {
    return sent;
  }

  int status() {
    return status;
  }

  boolean isClosed() {
    return closed;
  }

  /** Tells whether the generation could go on from its copy. */
  boolean hasUsableCopy() {
    return copy.filter(each -> context.selector().takesRequests(each.upstream())).isPresent();
  }

  void suspend() {
    exchange.suspend();
  }

  void resume() {
    exchange.resume();
  }

  /** Drops the connection and gives every place back; nothing is called any more. */
  void close() {
    closeKeepingCopy();
    copy.ifPresent(Reservation::release);
    context.queue().retry();
  }

  /** The same, but for the copy's place. */
  void closeKeepingCopy() {
    closed = true;
    if (exchange != null) {
      exchange.close();
    }
    place.release();
  }

  @Override
  public boolean maySend() {
    sent = context.selector().takesRequests(place.upstream());
    return sent;
  }

  @Override
  public void notSent(NotSent reason) {
    sent = false;
    if (reason != NotSent.VETOED) {
      context.health().failed(place.upstream().id());
    }
    close();
    listener.notSent(this);
  }

  @Override
  public void answered(int answerStatus, HeaderMap answerHeaders) {
    status = answerStatus;
    headers = answerHeaders;
    answer = context.headers().readAnswer(answerStatus, answerHeaders, call.head().attemptId());
    if (!answer.belongs()) {
      lost("an answer to another request");
    } else if (isStream()) {
      listener.streamBegan(answerStatus, answerHeaders);
    }
  }

  private boolean isStream() {
    return status >= STATUS_OK && status < STATUS_REDIRECT;
  }

  @Override
  public void received(ByteBuffer bytes) {
    if (!isStream()) {
      byte[] part = new byte[bytes.remaining()];
      bytes.get(part);
      refusal.write(part, 0, part.length);
      return;
    }
    Optional<String> error = splitter.feed(bytes);
    if (error.isPresent()) {
      lost(error.get());
    } else {
      listener.eventsRead();
    }
  }

  @Override
  public void completed() {
    if (!isStream()) {
      refused();
    } else if (splitter.isInsideEvent()) {
      lost("the stream ended inside an event");
    } else {
      context.health().succeeded(place.upstream().id());
      close();
      listener.streamEnded(this);
    }
  }

  private void refused() {
    close();
    if (answer.otherUpstream() && !isResumed()) {
      sent = false;
      listener.notSent(this);
    } else {
      listener.refused(
          this, new RefusedAnswer(status, headers, refusal.toByteString(), answer.notRun()));
    }
  }

  @Override
  public void broken(String detail) {
    lost(detail);
  }

  /** Gives the engine up; the copy's place is kept for the listener to use or release. */
  void lost(String detail) {
    if (!closed) {
      closeKeepingCopy();
      listener.lost(this, detail);
    }
  }
}
