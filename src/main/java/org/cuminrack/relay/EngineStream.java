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
  private String generationId;
  private TokenSequence sequence = TokenSequence.after(-1);
  private boolean expiredWhileSending;
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

  /** Starts a new generation on the engine. */
  void begin(GenerationRequest request, String id) {
    requestId = id;
    open(EngineRequests.generationRequest(target, request, id), true);
  }

  /** Continues a generation that already runs on the engine, after the given token index. */
  void resumeAfter(String runningGenerationId, int afterIndex) {
    generationId = runningGenerationId;
    sequence = TokenSequence.after(afterIndex);
    timeouts.tokenReceived();
    openAfterLastToken();
  }

  private void openAfterLastToken() {
    open(EngineRequests.eventsRequest(target, generationId, sequence.lastIndex()), false);
  }

  private void open(UpstreamRequest request, boolean startsGeneration) {
    timeouts.connectionOpened();
    connection = new EngineConnection(this, startsGeneration);
    connection.attach(io.open(request, connection));
    if (suspended) {
      connection.suspend();
    }
  }

  UpstreamProcess target() {
    return target;
  }

  String generationId() {
    return generationId;
  }

  boolean isCurrent(EngineConnection candidate) {
    return !ended && connection == candidate;
  }

  boolean maySend() {
    return listener.maySend();
  }

  void sent() {
    listener.sent();
    expiredWhileSending = !listener.maySend();
  }

  void notSent(NotSentReason reason) {
    if (generationId == null) {
      end();
      listener.notSent(reason);
    } else if (reason == NotSentReason.REFUSED) {
      endAsLost(UpstreamLoss.PROCESS_DIED);
    } else {
      reconnectLater();
    }
  }

  void responseStarted(int status, HeaderMap headers) {
    timeouts.dataReceived();
    if (generationId == null) {
      firstResponseStarted(status, headers);
    } else if (status == STATUS_NOT_FOUND || status == STATUS_GONE) {
      probe();
    } else if (status != STATUS_OK) {
      reconnectLater();
    } else if (isOtherProcess(headers)) {
      endAsLost(UpstreamLoss.PROCESS_DIED);
    }
  }

  private void firstResponseStarted(int status, HeaderMap headers) {
    if (status != STATUS_OK) {
      end();
      listener.rejected(status, RelayHeaders.retryAfter(headers));
      return;
    }
    String id = headers.getFirst(RelayHeaders.GENERATION_ID);
    if (id == null || !requestId.equals(headers.getFirst(RelayHeaders.REQUEST_ID))) {
      counters.add(RelayCounters.CROSSED_ANSWERS);
      probe();
      return;
    }
    generationId = id;
    if (expiredWhileSending) {
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

  void eventReceived(String id, byte[] json) {
    timeouts.dataReceived();
    Optional<TokenEvent> parsed = TokenEvent.parse(json);
    if (parsed.isEmpty()) {
      return;
    }
    TokenEvent token = parsed.get();
    if (!id.equals(generationId + ":" + token.index())) {
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

  /** Handles a connection that is silent, or ended or failed before the generation was complete. */
  void connectionBroken() {
    if (generationId == null) {
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
      endAsLost(UpstreamLoss.UNREACHABLE);
      return;
    }
    EngineConnection failedConnection = connection;
    timeouts.connectionOpened();
    io.after(timeouts.nextBackoffMillis(), () -> reopen(failedConnection));
  }

  private void reopen(EngineConnection failedConnection) {
    if (isCurrent(failedConnection)) {
      openAfterLastToken();
    }
  }

  private void probe() {
    end();
    UpstreamProbe.start(
        target, io, expiredWhileSending ? loss -> listener.expiredWhileSending() : listener::lost);
  }

  private void endAsLost(UpstreamLoss loss) {
    end();
    listener.lost(loss);
  }

  /** Acts on expired timeouts; must be called several times per silence timeout. */
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
    if (generationId != null) {
      EngineRequests.cancel(target, generationId, io);
    }
  }

  private void end() {
    ended = true;
    if (connection != null) {
      connection.close();
    }
  }
}
