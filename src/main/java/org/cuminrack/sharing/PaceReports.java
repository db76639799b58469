package org.cuminrack.sharing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminrack.gateway.Incarnation;
import org.cuminrack.pace.UpstreamPace;

/** The observations of pace that the board of a pool has not been told yet. Not thread-safe. */
final class PaceReports {
  /** A pace changes slowly, and observations come with every request. */
  private static final Duration INTERVAL = Duration.ofSeconds(1);

  private final PoolId pool;
  private final SharingContext context;
  private final Map<Incarnation, UpstreamPace> told = new HashMap<>();
  private long readNanos;

  PaceReports(PoolId pool, SharingContext context) {
    this.pool = pool;
    this.context = context;
    readNanos = context.clock().nanoTime() - INTERVAL.toNanos();
  }

  /** Forgets what the board was told; another one has to be told all. */
  void reset() {
    told.clear();
    readNanos = context.clock().nanoTime() - INTERVAL.toNanos();
  }

  /** Returns the observations to tell now; they count as told. */
  List<UpstreamPace> take() {
    long nowNanos = context.clock().nanoTime();
    if (nowNanos - readNanos < INTERVAL.toNanos()) {
      return List.of();
    }
    readNanos = nowNanos;
    Map<Incarnation, UpstreamPace> current = new HashMap<>();
    List<UpstreamPace> changed = new ArrayList<>();
    for (UpstreamPace pace : context.tables().paces().ownPaces()) {
      if (context.pools().of(pace.upstreamId()).filter(pool::equals).isPresent()) {
        UpstreamPace ageless = Paces.withAge(pace, Duration.ZERO);
        current.put(Paces.key(pace), ageless);
        if (!ageless.equals(told.get(Paces.key(pace)))) {
          changed.add(pace);
        }
      }
    }
    told.clear();
    told.putAll(current);
    return changed;
  }
}
