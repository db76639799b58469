package org.cuminrack.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * Forecasts the KV cache use of one upstream. The forecast is updated with each request that is
 * admitted or ends, and recomputed when it is too old. A prefix shared by several running requests
 * counts once while at least two of them run.
 */
final class UpstreamMemory {
  private static final long MAX_FORECAST_AGE_NANOS = 250_000_000L;

  private final UpstreamState upstream;
  private final MemoryForecast forecast = new MemoryForecast();
  private final SharedPrefixes prefixes = new SharedPrefixes();
  private final Map<Long, Sequence> sequences = new HashMap<>();
  private long refreshedNanos;
  private boolean stale = true;
  private double peakTokens;

  UpstreamMemory(UpstreamState upstream) {
    this.upstream = upstream;
  }

  void add(QueuedRequest request) {
    addSequence(
        request, request.sequence().advancedTo(0, prefixes.tokensInMemoryOf(request.prefix())));
    prefixes.add(request.prefix());
    peakTokens = forecast.peakTokens();
  }

  void remove(QueuedRequest request) {
    prefixes.remove(request.prefix());
    Sequence sequence = sequences.remove(request.id());
    if (sequence != null) {
      forecast.remove(sequence);
      peakTokens = forecast.peakTokens();
    }
  }

  void invalidate() {
    stale = true;
  }

  /** Returns the predicted peak memory use as a share of the usable memory. */
  double peakShare(LengthHistogram inheritedLengths, long nowNanos) {
    if (!upstream.hasMemoryLimit()) {
      return 0;
    }
    refresh(inheritedLengths, nowNanos);
    return peakTokens / upstream.usableMemoryTokens();
  }

  /**
   * Returns whether one more request is predicted to fit into a share of the usable memory; always
   * true for an idle upstream and for one without a memory limit.
   */
  boolean fits(
      QueuedRequest candidate, double share, LengthHistogram inheritedLengths, long nowNanos) {
    if (!upstream.hasMemoryLimit() || upstream.requestsInFlight() == 0) {
      return true;
    }
    refresh(inheritedLengths, nowNanos);
    Sequence sequence =
        candidate.sequence().advancedTo(0, prefixes.tokensInMemoryOf(candidate.prefix()));
    return forecast.peakTokensWith(sequence) <= upstream.usableMemoryTokens() * share;
  }

  private void refresh(LengthHistogram inheritedLengths, long nowNanos) {
    if (!stale && nowNanos - refreshedNanos < MAX_FORECAST_AGE_NANOS) {
      return;
    }
    forecast.clear(prefixes.sharedTokens());
    sequences.clear();
    for (RunningRequest each : upstream.running()) {
      addSequence(each.queued(), currentSequence(each, nowNanos));
    }
    addInherited(inheritedLengths);
    peakTokens = forecast.peakTokens();
    refreshedNanos = nowNanos;
    stale = false;
  }

  private void addSequence(QueuedRequest request, Sequence sequence) {
    sequences.put(request.id(), sequence);
    forecast.add(sequence);
  }

  private Sequence currentSequence(RunningRequest running, long nowNanos) {
    QueuedRequest request = running.queued();
    double produced = upstream.latency().producedTokens(running.ageNanos(nowNanos));
    return request.sequence().advancedTo(produced, prefixes.sharedTokensOf(request.prefix()));
  }

  private void addInherited(LengthHistogram lengths) {
    int count = upstream.inheritedRequests();
    for (int i = 0; i < count; i++) {
      forecast.add(new Sequence(lengths, (int) (upstream.reportedUsedTokens() / count), 0, 0));
    }
  }
}
