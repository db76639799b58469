package org.cuminrack.pool;

/** Computes the summary of a pool. */
final class PoolSummaries {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private PoolSummaries() {}

  static PoolSummary of(
      PoolKey key, UpstreamTable upstreams, AdmissionQueue queue, PoolContext context) {
    int free = 0;
    int limit = 0;
    int available = 0;
    for (UpstreamState each : upstreams.all()) {
      if (each.isAvailable(context.rules(), context.nowNanos()) && !each.isReserved()) {
        available++;
        limit += each.limit().value();
        free += freePlaces(each, context);
      }
    }
    int waitMillis = (int) (queue.predictedWaitNanosOfNewRequest(upstreams) / NANOS_PER_MILLI);
    int freeNow = Math.max(0, free - queue.size());
    return new PoolSummary(key, freeNow, limit, waitMillis, available);
  }

  private static int freePlaces(UpstreamState upstream, PoolContext context) {
    int limit = upstream.limit().value();
    int places = Math.max(0, limit - upstream.requestsInFlight());
    if (!context.uses(Mechanism.MEMORY_PREDICTION)) {
      return places;
    }
    double freeShare =
        1 - upstream.memory().peakShare(context.standardLengths(), context.nowNanos());
    return (int) Math.max(0, Math.min(places, Math.ceil(limit * freeShare)));
  }
}
