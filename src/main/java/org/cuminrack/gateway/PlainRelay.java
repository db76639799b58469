package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cuminrack.log.LogEvent;
import org.cuminrack.relay.CallerWatch;
import org.cuminrack.relay.HopByHopHeaders;
import org.cuminrack.relay.NotSent;
import org.cuminrack.relay.UpstreamExchange;
import org.cuminrack.relay.UpstreamListener;
import org.xnio.XnioExecutor;

/**
 * Carries a request whose answer comes whole. The answer is passed on only once it is complete, so
 * that one that was cut is never taken for a whole one.
 */
final class PlainRelay {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int SERVER_ERROR = 500;

  /** Upstreams that can't be reached are left behind this often before the request is refused. */
  private static final int MAX_CONNECT_FAILURES = 4;

  /** How much longer than its target an idempotent request waits before it is sent elsewhere. */
  private static final int TARGETS_BEFORE_REPEAT = 2;

  /** How often a gateway that has just started looks for upstreams. */
  private static final Duration UPSTREAMS_POLL = Duration.ofMillis(50);

  private static final Duration RETRY_SOON = Duration.ofMillis(100);

  private final GatewayContext context;
  private final GatewayCall call;
  private final Set<String> tried = new HashSet<>();
  private Sending current;
  private int connectFailures;

  /** Whether an earlier sending was given up without its answer. */
  private boolean lostOne;

  private PlainRelay(GatewayContext context, GatewayCall call) {
    this.context = context;
    this.call = call;
  }

  static void begin(GatewayContext context, GatewayCall call) {
    PlainRelay relay = new PlainRelay(context, call);
    CallerWatch.begin(call.exchange(), relay::callerGone);
    call.atDeadline(relay::deadline);
    context.retries().countFirst(call.service().name());
    relay.send();
  }

  private void send() {
    Optional<Reservation> place = context.selector().plain(call.service().name(), tried);
    if (place.isEmpty() && !tried.isEmpty()) {
      place = context.selector().plain(call.service().name(), Set.of());
    }
    if (place.isEmpty()) {
      boolean any = context.selector().hasUpstreams(call.service().name());
      if (mayOpenSoon(any) && mayWait()) {
        call.io().after(UPSTREAMS_POLL.toMillis(), this::sendUnlessOver);
        return;
      }
      refuse(any ? GatewayFailure.OVERLOADED : GatewayFailure.NO_UPSTREAM, "");
      return;
    }
    current = new Sending(place.get());
    current.open();
  }

  private boolean mayOpenSoon(boolean any) {
    return any
        ? context.selector().isHeldBack(call.service().name())
        : context.view().isYoung(context.clock().nanoTime());
  }

  private boolean mayWait() {
    return call.left().compareTo(call.route().targetLatency()) > 0;
  }

  private void sendUnlessOver() {
    if (!call.isOver()) {
      send();
    }
  }

  /** Says that the request has not run, unless an earlier sending of it may have. */
  private void refuse(GatewayFailure failure, String detail) {
    if (lostOne) {
      call.fail(GatewayFailure.UPSTREAM_LOST, Optional.empty(), detail);
    } else {
      call.fail(failure, Optional.of(RETRY_SOON), detail);
    }
  }

  private void deadline() {
    boolean mayHaveRun = lostOne || (current != null && current.sent);
    closeCurrent();
    if (mayHaveRun) {
      call.fail(GatewayFailure.TIMEOUT, Optional.empty(), "deadline");
    } else {
      call.fail(GatewayFailure.NOT_SENT, Optional.of(RETRY_SOON), "deadline");
    }
  }

  private void callerGone() {
    closeCurrent();
    call.abandoned();
  }

  private void closeCurrent() {
    if (current != null) {
      current.close();
    }
  }

  private boolean mayRepeat() {
    return call.route().kind().isRepeatable()
        && call.sends() < call.route().maxUpstreams()
        && call.left().compareTo(call.route().targetLatency().dividedBy(2)) > 0
        && context.retries().allowsRepeat(call.service().name());
  }

  private void repeat(String cause) {
    logger.atInfo().log(
        "%s",
        LogEvent.named("request-repeated")
            .with("request", call.head().attemptId())
            .with("cause", cause)
            .with("sends", call.sends())
            .with("age_ms", call.age().toMillis()));
    context.counters().add(GatewayCounters.Kind.REPEATED_SENDS);
    send();
  }

  /** One sending of the request to one upstream. */
  private final class Sending implements UpstreamListener {
    private final Reservation place;
    private final ByteString.Output body = ByteString.newOutput();
    private UpstreamExchange exchange;
    private XnioExecutor.Key patience = () -> false;
    private AnswerHead answer;
    private HeaderMap headers;
    private int status;
    private boolean sent;

    Sending(Reservation place) {
      this.place = place;
    }

    void open() {
      String id = place.upstream().id();
      tried.add(id);
      exchange =
          call.io()
              .open(call.requestTo(place.upstream(), Optional.empty(), Optional.empty()), this);
      if (call.route().kind().isRepeatable() && call.route().maxUpstreams() > 1) {
        Duration wait = call.route().targetLatency().multipliedBy(TARGETS_BEFORE_REPEAT);
        patience = call.io().after(wait.toMillis(), this::tooSlow);
      }
    }

    void close() {
      patience.remove();
      place.release();
      if (exchange != null) {
        exchange.close();
      }
    }

    @Override
    public boolean maySend() {
      sent = context.selector().takesRequests(place.upstream());
      return sent;
    }

    @Override
    public void notSent(NotSent reason) {
      sent = false;
      close();
      if (reason != NotSent.VETOED) {
        context.health().failed(place.upstream().id());
      }
      connectFailures++;
      if (connectFailures >= MAX_CONNECT_FAILURES) {
        refuse(GatewayFailure.NOT_SENT, "connect");
      } else {
        send();
      }
    }

    private void tooSlow() {
      if (current == this && !call.isOver() && mayRepeat()) {
        context.health().failed(place.upstream().id());
        lostOne = true;
        close();
        repeat("no answer yet");
      }
    }

    @Override
    public void answered(int answerStatus, HeaderMap answerHeaders) {
      status = answerStatus;
      headers = answerHeaders;
      answer = context.headers().readAnswer(answerStatus, answerHeaders, call.head().attemptId());
      if (!answer.belongs()) {
        lost("an answer to another request");
      }
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (body.size() + bytes.remaining() > context.bounds().maxAnswerBytes()) {
        lost("an answer larger than allowed");
        return;
      }
      byte[] copy = new byte[bytes.remaining()];
      bytes.get(copy);
      body.write(copy, 0, copy.length);
    }

    @Override
    public void completed() {
      close();
      if (answer.otherUpstream()) {
        context.health().failed(place.upstream().id());
        notSent(NotSent.VETOED);
      } else if (answer.notRun()) {
        notRun();
      } else if (status >= SERVER_ERROR && mayRepeat()) {
        repeat("status " + status);
      } else {
        passOn();
      }
    }

    private void notRun() {
      if (mayRepeat()) {
        repeat("not run, status " + status);
      } else {
        refuse(GatewayFailure.UPSTREAM_REFUSED, "status " + status);
      }
    }

    private void passOn() {
      if (status < SERVER_ERROR) {
        context.health().succeeded(place.upstream().id());
      }
      if (call.answered(status, "")) {
        call.exchange().setStatusCode(status);
        HopByHopHeaders.copyOthers(headers, call.exchange().getResponseHeaders());
        call.exchange().getResponseSender().send(body.toByteString().asReadOnlyByteBuffer());
      }
    }

    @Override
    public void broken(String detail) {
      lost(detail);
    }

    private void lost(String detail) {
      lostOne = true;
      close();
      context.health().failed(place.upstream().id());
      if (mayRepeat()) {
        repeat(detail);
      } else {
        call.fail(GatewayFailure.UPSTREAM_LOST, Optional.empty(), detail);
      }
    }
  }
}
