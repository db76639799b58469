package org.cuminrack.relay;

import io.undertow.util.HeaderMap;
import java.util.Optional;
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

  private final EngineTarget target;
  private final IoContext io;
  private final StreamTiming timing;
  private final RelayCounters.Table counters;
  private final EngineStreamListener listener;
  private EngineLink link;
  private String requestId;
  private String generation;
  private TokenSequence sequence = TokenSequence.after(-1);
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
    this.timing = new StreamTiming(clock, io.bounds());
    this.counters = counters;
    this.listener = listener;
  }

  /** Sends the request to the engine. */
  void begin(GenerationRequest request, String id) {
    requestId = id;
    open(EngineRequests.begin(target, request, id), true);
  }

  /** Goes on with a generation that an engine holds, after the given token. */
  void goOn(String generationId, int afterIndex) {
    generation = generationId;
    sequence = TokenSequence.after(afterIndex);
    timing.token();
    openResume();
  }

  private void openResume() {
    open(EngineRequests.events(target, generation, sequence.lastIndex()), false);
  }

  private void open(UpstreamRequest request, boolean first) {
    timing.opened();
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
    timing.heard();
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
    timing.heard();
    Optional<TokenData> data = TokenData.read(json);
    if (data.isEmpty()) {
      return;
    }
    TokenData token = data.get();
    if (!id.equals(generation + ":" + token.index())) {
      counters.add(RelayCounters.CROSSED_ANSWERS);
      replace();
    } else {
      take(token, json);
    }
  }

  private void take(TokenData token, byte[] json) {
    switch (sequence.take(token.index())) {
      case NEXT -> deliver(token, json);
      case DUPLICATE -> counters.add(RelayCounters.DUPLICATES_DROPPED);
      case GAP -> {
        counters.add(RelayCounters.GAPS_REPAIRED);
        replace();
      }
      case LOST -> {
        cancel();
        listener.lost(EngineLoss.GENERATION_GONE);
      }
    }
  }

  private void deliver(TokenData token, byte[] json) {
    timing.token();
    if (token.finished()) {
      end();
    }
    listener.token(token, json);
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
    if (timing.isOutOfReach()) {
      lose(EngineLoss.OUT_OF_REACH);
      return;
    }
    EngineLink broken = link;
    timing.opened();
    io.after(timing.nextBackoffMillis(), () -> reopen(broken));
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
    if (timing.isStalled()) {
      cancel();
      listener.lost(EngineLoss.OUT_OF_REACH);
    } else if (timing.isSilent()) {
      broken();
    }
  }

  /** Takes no more events for now. */
  void suspend() {
    suspended = true;
    link.suspend();
  }

  /** Goes on taking events. */
  void resume() {
    suspended = false;
    timing.token();
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
      EngineRequests.cancel(target, generation, io);
    }
  }

  private void end() {
    ended = true;
    if (link != null) {
      link.close();
    }
  }
}
