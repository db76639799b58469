package org.cuminrack.sharing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.cuminrack.gateway.UpstreamLoad;

/** The sum of the load of all gateways on each upstream of a pool. Not thread-safe. */
final class BoardLoads {
  /** Longer than a gateway takes the sums that it knows for valid. */
  private static final Duration EMPTY_TTL = Duration.ofSeconds(10);

  private final Map<String, Total> totals = new HashMap<>();

  private static final class Total {
    private final ChangeMark mark = new ChangeMark();
    private UpstreamLoad sum = UpstreamLoad.NONE;
    private long changedNanos;
  }

  /** Replaces the load of a gateway on an upstream. */
  void replace(
      String upstreamId,
      UpstreamLoad before,
      UpstreamLoad after,
      String vm,
      long nowNanos,
      long version) {
    if (before.equals(after)) {
      return;
    }
    Total total = totals.computeIfAbsent(upstreamId, id -> new Total());
    total.sum = total.sum.minus(before).plus(after);
    total.mark.record(vm, version);
    total.changedNanos = nowNanos;
  }

  /** Passes on the sums of all upstreams that other gateways than this one have load on. */
  void forEach(String vm, Reporter reporter, BiConsumer<String, UpstreamLoad> action) {
    forEachChanged(
        vm,
        -1,
        reporter,
        (upstreamId, load) -> {
          if (!load.equals(UpstreamLoad.NONE)) {
            action.accept(upstreamId, load);
          }
        });
  }

  /** Passes on the sums that other gateways than this one have changed after a version. */
  void forEachChanged(
      String vm, long knownVersion, Reporter reporter, BiConsumer<String, UpstreamLoad> action) {
    totals.forEach(
        (upstreamId, total) -> {
          if (total.mark.isChangedFor(vm, knownVersion)) {
            UpstreamLoad own = reporter.loads.getOrDefault(upstreamId, UpstreamLoad.NONE);
            action.accept(upstreamId, total.sum.minus(own));
          }
        });
  }

  void removeExpired(long nowNanos) {
    totals
        .values()
        .removeIf(
            total ->
                total.sum.equals(UpstreamLoad.NONE)
                    && nowNanos - total.changedNanos > EMPTY_TTL.toNanos());
  }
}
