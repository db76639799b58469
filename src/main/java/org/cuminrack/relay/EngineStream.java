package org.cuminrack.relay;

import io.undertow.util.HeaderMap;
import java.util.Optional;
import org.cuminrack.time.Clock;

/**
 * Reads one generation from one engine, over several connections if necessary. Delivers each token
 * exactly once and in order: drops duplicates, requests missing tokens again, and replaces a
 * connection that is silent or broken.
 */
final class EngineStream {
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_GONE = 410;

  private final UpstreamProcess target;
  private final IoContext io;
  private final StreamTimeouts timeouts;
  private final RelayCounters.Table counters;
  private final EngineStreamListener listener;
  private EngineConnection connection;
  private String requestId;
  private String generation;
  private TokenSequence sequence = TokenSequence.after(-1);
  private boolean sentLate;
  private boolean suspended;
  private boolean ended;

  EngineStream(
      UpstreamProcess target,
      IoContext io,
      Clock clock,
      RelayCounters.Table counters,
      EngineStreamListener listener) {
    this.target = target;
    this.io = io;
    this.timeouts = new StreamTimeouts(clock, io.bounds());
    this.counters = counters;
    this.listener = listener;
  }

  /** Sends the request to the engine. */
  void begin(GenerationRequest request, String id) {
    requestId = id;
    open(EngineRequests.begin(target, request, id), true);
  }

  /** Resumes a generation that the engine already runs, after the given token. */
  void resumeFrom(String generationId, int afterIndex) {
    generation = generationId;
    sequence = TokenSequence.after(afterIndex);
    timeouts.tokenReceived();
    openResumed();
  }

  private void openResumed() {
    open(EngineRequests.events(target, generation, sequence.lastIndex()), false);
  }

  private void open(UpstreamRequest request, boolean first) {
    timeouts.connectionOpened();
    connection = new EngineConnection(this, first);
    connection.attach(io.open(request, connection));
    if (suspended) {
      connection.suspend();
    }
  }

  UpstreamProcess target() {
    return target;
  }

  String generation() {
    return generation;
  }

  boolean isCurrent(EngineConnection candidate) {
    return !ended && connection == candidate;
  }

  boolean maySend() {
    return listener.maySend();
  }

  void sent() {
    listener.sent();
    sentLate = !listener.maySend();
  }

  void notSent(NotSent reason) {
    if (generation == null) {
      end();
      listener.notSent(reason);
    } else if (reason == NotSent.REFUSED) {
      endLost(UpstreamLoss.PROCESS_DIED);
    } else {
      reconnectLater();
    }
  }

  void responseStarted(int status, HeaderMap headers) {
    timeouts.dataReceived();
    if (generation == null) {
      firstResponseStarted(status, headers);
    } else if (status == STATUS_NOT_FOUND || status == STATUS_GONE) {
      probe();
    } else if (status != STATUS_OK) {
      reconnectLater();
    } else if (isOtherProcess(headers)) {
      endLost(UpstreamLoss.PROCESS_DIED);
    }
  }

  private void firstResponseStarted(int status, HeaderMap headers) {
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
    if (sentLate) {
      counters.add(RelayCounters.LATE_DISPATCHES);
      cancel();
      listener.expiredWhileSending();
    } else if (isOtherProcess(headers)) {
      cancel();
      listener.lost(UpstreamLoss.GENERATION_NOT_FOUND);
    }
  }

  private boolean isOtherProcess(HeaderMap headers) {
    String bootId = headers.getFirst(RelayHeaders.BOOT_ID);
    return bootId != null && !bootId.equals(target.bootId());
  }

  void event(String id, byte[] json) {
    timeouts.dataReceived();
    Optional<TokenEvent> data = TokenEvent.read(json);
    if (data.isEmpty()) {
      return;
    }
    TokenEvent token = data.get();
    if (!id.equals(generation + ":" + token.index())) {
      counters.add(RelayCounters.CROSSED_ANSWERS);
      replaceConnection();
    } else {
      handleToken(token, json);
    }
  }

  private void handleToken(TokenEvent token, byte[] json) {
    switch (sequence.accept(token.index())) {
      case NEXT -> deliver(token, json);
      case DUPLICATE -> counters.add(RelayCounters.DUPLICATES_DROPPED);
      case GAP -> {
        counters.add(RelayCounters.GAPS_REPAIRED);
        replaceConnection();
      }
      case LOST -> {
        cancel();
        listener.lost(UpstreamLoss.GENERATION_NOT_FOUND);
      }
    }
  }

  private void deliver(TokenEvent token, byte[] json) {
    timeouts.tokenReceived();
    if (token.isLastToken()) {
      end();
    }
    listener.token(token, json);
  }

  /** Signals that all events of one socket read have been delivered. */
  void readCompleted() {
    listener.readCompleted();
  }

  /** Handles a connection that ended or failed before the generation was complete. */
  void connectionBroken() {
    if (generation == null) {
      probe();
    } else {
      replaceConnection();
    }
  }

  private void replaceConnection() {
    counters.add(RelayCounters.CONNECTIONS_REPLACED);
    connection.close();
    reconnectLater();
  }

  private void reconnectLater() {
    connection.close();
    if (timeouts.isUnreachable()) {
      endLost(UpstreamLoss.UNREACHABLE);
      return;
    }
    EngineConnection failed = connection;
    timeouts.connectionOpened();
    io.after(timeouts.nextBackoffMillis(), () -> reopen(failed));
  }

  private void reopen(EngineConnection failed) {
    if (isCurrent(failed)) {
      openResumed();
    }
  }

  private void probe() {
    end();
    UpstreamProbe.start(
        target, io, sentLate ? loss -> listener.expiredWhileSending() : listener::lost);
  }

  private void endLost(UpstreamLoss loss) {
    end();
    listener.lost(loss);
  }

  /** Checks the timeouts; must be called several times per silence timeout. */
  void checkTimeouts() {
    if (ended || suspended) {
      return;
    }
    if (timeouts.isStalled()) {
      cancel();
      listener.lost(UpstreamLoss.UNREACHABLE);
    } else if (timeouts.isSilent()) {
      connectionBroken();
    }
  }

  /** Stops reading until {@link #resume}, for backpressure. */
  void suspend() {
    suspended = true;
    connection.suspend();
  }

  /** Continues reading after {@link #suspend}. */
  void resume() {
    suspended = false;
    timeouts.tokenReceived();
    connection.resume();
  }

  /** Stops reading without cancelling the generation, so that the caller can resume it later. */
  void detach() {
    end();
  }

  /** Stops reading and cancels the generation on the engine. */
  void cancel() {
    end();
    if (generation != null) {
      EngineRequests.cancel(target, generation, io);
    }
  }

  private void end() {
    ended = true;
    if (connection != null) {
      connection.close();
    }
  }
}
