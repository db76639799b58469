package org.cuminrack.pool;

/** The forecast of one upstream's key-value memory, worked out anew when it has aged or changed. */
final class UpstreamMemory {
  private static final long MAX_AGE_NANOS = 100_000_000L;

  private final UpstreamState upstream;
  private final MemoryForecast forecast = new MemoryForecast();
  private long madeNanos;
  private boolean stale = true;
  private double peakTokens;

  UpstreamMemory(UpstreamState upstream) {
    this.upstream = upstream;
  }

  void added(Sequence sequence) {
    forecast.add(sequence);
    peakTokens = forecast.peakTokens();
  }

  void changed() {
    stale = true;
  }

  /** Returns the share of the usable memory that is predicted to be used at most. */
  double peakShare(LengthHistogram inheritedLengths, long nowNanos) {
    if (!upstream.hasMemoryLimit()) {
      return 0;
    }
    refresh(inheritedLengths, nowNanos);
    return peakTokens / upstream.usableMemoryTokens();
  }

  /** Tells whether one more sequence is predicted to fit into a share of the usable memory. */
  boolean fits(Sequence more, double share, LengthHistogram inheritedLengths, long nowNanos) {
    if (!upstream.hasMemoryLimit() || upstream.occupied() == 0) {
      return true;
    }
    refresh(inheritedLengths, nowNanos);
    return forecast.peakTokensWith(more) <= upstream.usableMemoryTokens() * share;
  }

  private void refresh(LengthHistogram inheritedLengths, long nowNanos) {
    if (!stale && nowNanos - madeNanos < MAX_AGE_NANOS) {
      return;
    }
    forecast.clear();
    for (RunningRequest each : upstream.running()) {
      forecast.add(grown(each, nowNanos));
    }
    addInherited(inheritedLengths);
    peakTokens = forecast.peakTokens();
    madeNanos = nowNanos;
    stale = false;
  }

  private Sequence grown(RunningRequest request, long nowNanos) {
    Sequence start = request.queued().sequence();
    double produced = upstream.pace().producedTokens(request.ageNanos(nowNanos));
    int max = start.maxOutputTokens();
    double bounded = max > 0 ? Math.min(produced, max) : produced;
    return new Sequence(start.lengths(), start.promptTokens(), bounded, max);
  }

  private void addInherited(LengthHistogram lengths) {
    int count = upstream.inheritedRequests();
    for (int i = 0; i < count; i++) {
      forecast.add(new Sequence(lengths, (int) (upstream.usedTokensReported() / count), 0, 0));
    }
  }
}
