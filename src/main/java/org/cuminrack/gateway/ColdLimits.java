package org.cuminrack.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cuminrack.fleet.UpstreamRecord;

/**
 * This gateway's part of what cold upstreams can take. Each gateway spaces its requests by an equal
 * part of the limit, so that all together keep it without asking each other. Not safe for use by
 * many threads.
 */
final class ColdLimits {
  private static final double NANOS_PER_SECOND = 1e9;

  /** An upstream that has left while it was cold is not asked about any more. */
  private static final long FORGET_AFTER_NANOS = Duration.ofMinutes(1).toNanos();

  private final RandomGenerator random;
  private final Map<String, Turn> turns = new HashMap<>();

  ColdLimits(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Tells whether an upstream may get a request now.
   *
   * @param perSecond what one cold upstream can take from all gateways; 0 for any number
   * @param gateways how many gateways live
   */
  boolean allows(UpstreamRecord upstream, double perSecond, int gateways, long nowNanos) {
    if (perSecond <= 0 || !upstream.isCold(nowNanos)) {
      turns.remove(upstream.id());
      return true;
    }
    return turn(upstream, perSecond, gateways, nowNanos).nextNanos - nowNanos <= 0;
  }

  /** Notes a request that {@link #allows} has allowed. */
  void note(UpstreamRecord upstream, long nowNanos) {
    Turn turn = turns.get(upstream.id());
    if (turn != null) {
      turn.nextNanos = nowNanos + turn.intervalNanos;
    }
  }

  private Turn turn(UpstreamRecord upstream, double perSecond, int gateways, long nowNanos) {
    long intervalNanos = (long) (NANOS_PER_SECOND * Math.max(1, gateways) / perSecond);
    Turn turn = turns.get(upstream.id());
    if (turn == null) {
      turns.values().removeIf(each -> nowNanos - each.nextNanos > FORGET_AFTER_NANOS);
      turn = Turn.first(random, intervalNanos, nowNanos);
      turns.put(upstream.id(), turn);
    }
    turn.intervalNanos = intervalNanos;
    return turn;
  }

  private static final class Turn {
    private long intervalNanos;
    private long nextNanos;

    /** Gateways hear of a cold upstream together; their first requests are spread. */
    static Turn first(RandomGenerator random, long intervalNanos, long nowNanos) {
      Turn turn = new Turn();
      turn.nextNanos = nowNanos + (long) (random.nextDouble() * intervalNanos);
      return turn;
    }
  }
}
