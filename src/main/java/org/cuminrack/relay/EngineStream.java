package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.time.Duration;
import java.util.Optional;
import org.cuminrack.http.Json;
import org.cuminrack.time.Clock;

/**
 * One generation on one engine, read to its end over as many connections as it takes: each token is
 * handed on exactly once and in order; what comes again is dropped, what is missing is asked for
 * again, and a connection that is silent or broken is replaced by a fresh one.
 */
final class EngineStream {
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_GONE = 410;
  private static final long FIRST_BACKOFF_MILLIS = 20;
  private static final long MAX_BACKOFF_MILLIS = 500;
  private static final int MAX_GAPS_AT_ONE_TOKEN = 3;

  private final EngineTarget target;
  private final IoContext io;
  private final Clock clock;
  private final RelayCounters.Table counters;
  private final EngineStreamListener listener;
  private EngineLink link;
  private String requestId;
  private String generation;
  private int lastIndex = -1;
  private int gapsHere;
  private long lastHeardNanos;
  private long lastTokenNanos;
  private long linkOpenedNanos;
  private long backoffMillis = FIRST_BACKOFF_MILLIS;
  private boolean late;
  private boolean suspended;
  private boolean ended;

  EngineStream(
      EngineTarget target,
      IoContext io,
      Clock clock,
      RelayCounters.Table counters,
      EngineStreamListener listener) {
    this.target = target;
    this.io = io;
    this.clock = clock;
    this.counters = counters;
    this.listener = listener;
    this.lastHeardNanos = clock.nanoTime();
    this.lastTokenNanos = lastHeardNanos;
  }

  /** Sends the request to the engine. */
  void begin(GenerationRequest request, String id) {
    requestId = id;
    HeaderMap headers = new HeaderMap();
    headers.put(Headers.CONTENT_TYPE, "application/json");
    headers.put(RelayHeaders.REQUEST_ID, id);
    ByteString body = ByteString.copyFrom(Json.bytes(request.engineBody(id)));
    open(
        new UpstreamRequest(target.address(), Methods.POST, "/v1/completions", headers, body),
        true);
  }

  /** Goes on with a generation that an engine holds, after the given token. */
  void goOn(String generationId, int afterIndex) {
    generation = generationId;
    lastIndex = afterIndex;
    openResume();
  }

  private void openResume() {
    String path = "/v1/generations/" + generation + "/events?after=" + lastIndex;
    open(UpstreamRequest.get(target.address(), path), false);
  }

  private void open(UpstreamRequest request, boolean first) {
    linkOpenedNanos = clock.nanoTime();
    link = new EngineLink(this, first);
    link.attach(io.open(request, link));
    if (suspended) {
      link.suspend();
    }
  }

  EngineTarget target() {
    return target;
  }

  String generation() {
    return generation;
  }

  int lastIndex() {
    return lastIndex;
  }

  boolean isCurrent(EngineLink candidate) {
    return !ended && link == candidate;
  }

  boolean maySend() {
    return listener.maySend();
  }

  void sent() {
    listener.sent();
    late = !listener.maySend();
  }

  void notSent(NotSent reason) {
    if (generation == null) {
      end();
      listener.notSent(reason);
    } else if (reason == NotSent.REFUSED) {
      lose(EngineLoss.PROCESS_DIED);
    } else {
      retryLater();
    }
  }

  void answered(int status, HeaderMap headers) {
    lastHeardNanos = clock.nanoTime();
    if (generation == null) {
      answeredFirst(status, headers);
    } else if (status == STATUS_NOT_FOUND || status == STATUS_GONE) {
      probe();
    } else if (status != STATUS_OK) {
      retryLater();
    } else if (isOtherLife(headers)) {
      lose(EngineLoss.PROCESS_DIED);
    }
  }

  private void answeredFirst(int status, HeaderMap headers) {
    if (status != STATUS_OK) {
      end();
      listener.refused(status, RelayHeaders.retryAfter(headers));
      return;
    }
    String id = headers.getFirst(RelayHeaders.GENERATION_ID);
    if (id == null || !requestId.equals(headers.getFirst(RelayHeaders.REQUEST_ID))) {
      counters.add(RelayCounters.CROSSED_ANSWERS);
      probe();
      return;
    }
    generation = id;
    if (late) {
      counters.add(RelayCounters.LATE_DISPATCHES);
      cancel();
      listener.late();
    } else if (isOtherLife(headers)) {
      cancel();
      listener.lost(EngineLoss.GENERATION_GONE);
    }
  }

  private boolean isOtherLife(HeaderMap headers) {
    String bootId = headers.getFirst(RelayHeaders.BOOT_ID);
    return bootId != null && !bootId.equals(target.bootId());
  }

  void event(String id, byte[] json) {
    lastHeardNanos = clock.nanoTime();
    Optional<TokenData> data = TokenData.read(json);
    if (data.isEmpty()) {
      return;
    }
    TokenData token = data.get();
    if (!id.equals(generation + ":" + token.index())) {
      counters.add(RelayCounters.CROSSED_ANSWERS);
      replace();
    } else if (token.index() <= lastIndex) {
      counters.add(RelayCounters.DUPLICATES_DROPPED);
    } else if (token.index() > lastIndex + 1) {
      gap();
    } else {
      deliver(token, json);
    }
  }

  private void gap() {
    gapsHere++;
    counters.add(RelayCounters.GAPS_REPAIRED);
    if (gapsHere > MAX_GAPS_AT_ONE_TOKEN) {
      cancel();
      listener.lost(EngineLoss.GENERATION_GONE);
    } else {
      replace();
    }
  }

  private void deliver(TokenData token, byte[] data) {
    lastIndex = token.index();
    lastTokenNanos = lastHeardNanos;
    gapsHere = 0;
    backoffMillis = FIRST_BACKOFF_MILLIS;
    if (token.finished()) {
      end();
    }
    listener.token(token, data);
  }

  /** Called after the events of one read. */
  void turnEnded() {
    listener.turnEnded();
  }

  /** The connection ended or broke before the generation did. */
  void broken() {
    if (generation == null) {
      probe();
    } else {
      replace();
    }
  }

  private void replace() {
    counters.add(RelayCounters.CONNECTIONS_REPLACED);
    link.close();
    retryLater();
  }

  private void retryLater() {
    link.close();
    if (elapsed(lastHeardNanos).compareTo(io.bounds().engineLoss()) > 0) {
      lose(EngineLoss.OUT_OF_REACH);
      return;
    }
    EngineLink broken = link;
    linkOpenedNanos = clock.nanoTime();
    io.after(backoffMillis, () -> reopen(broken));
    backoffMillis = Math.min(backoffMillis * 2, MAX_BACKOFF_MILLIS);
  }

  private void reopen(EngineLink broken) {
    if (isCurrent(broken)) {
      openResume();
    }
  }

  private void probe() {
    end();
    EngineProbe.ask(target, io, late ? loss -> listener.late() : listener::lost);
  }

  private void lose(EngineLoss loss) {
    end();
    listener.lost(loss);
  }

  /** Looks at the clock; to be called a few times within the bound of silence. */
  void tick() {
    if (ended || suspended) {
      return;
    }
    if (elapsed(lastTokenNanos).compareTo(io.bounds().stall()) > 0) {
      cancel();
      listener.lost(EngineLoss.OUT_OF_REACH);
    } else if (isSilent()) {
      broken();
    }
  }

  private boolean isSilent() {
    Duration silence = io.bounds().silence();
    return elapsed(lastHeardNanos).compareTo(silence) > 0
        && elapsed(linkOpenedNanos).compareTo(silence) > 0;
  }

  private Duration elapsed(long sinceNanos) {
    return Duration.ofNanos(clock.nanoTime() - sinceNanos);
  }

  /** Takes no more events for now. */
  void suspend() {
    suspended = true;
    link.suspend();
  }

  /** Goes on taking events. */
  void resume() {
    suspended = false;
    lastHeardNanos = clock.nanoTime();
    lastTokenNanos = lastHeardNanos;
    link.resume();
  }

  /** Reads no further; the engine goes on for a while, so that the caller may come back. */
  void detach() {
    end();
  }

  /** Stops the generation at the engine. */
  void cancel() {
    end();
    if (generation != null) {
      String path = "/v1/generations/" + generation;
      UpstreamExchange cancelling =
          io.open(UpstreamRequest.delete(target.address(), path), new IgnoredAnswer());
      io.after(io.bounds().silence().toMillis(), cancelling::close);
    }
  }

  private void end() {
    ended = true;
    if (link != null) {
      link.close();
    }
  }
}
