package org.cuminrack.fairshare;

import java.util.HashMap;
import java.util.Map;

/**
 * How many of the requests of each organisation and each priority were placed lately. Not
 * thread-safe.
 *
 * <p>Equal shares alone would leave an organisation that asks for much more than its share almost
 * without service, and strict priorities a less urgent one.
 */
final class ServedRatios {
  /** An organisation or priority is starved if it is served less often than all by this factor. */
  private static final double STARVED_RATIO = 0.35;

  /** Requests below which chance decides more than the order of placing. */
  private static final double MIN_REQUESTS = 3;

  private static final double HALF_LIFE_NANOS = 10e9;

  private final Map<Object, Counts> counts = new HashMap<>();
  private final Counts all = new Counts();

  void recordAsked(Claimant claimant, long nowNanos) {
    all.add(1, 0, nowNanos);
    of(claimant.organisation()).add(1, 0, nowNanos);
    of(claimant.priority()).add(1, 0, nowNanos);
  }

  void recordPlaced(Claimant claimant, long nowNanos) {
    all.add(0, 1, nowNanos);
    of(claimant.organisation()).add(0, 1, nowNanos);
    of(claimant.priority()).add(0, 1, nowNanos);
  }

  boolean isStarved(String organisation) {
    return of(organisation).isStarved(all);
  }

  boolean isStarved(int priority) {
    return of(priority).isStarved(all);
  }

  private Counts of(Object organisationOrPriority) {
    return counts.computeIfAbsent(organisationOrPriority, key -> new Counts());
  }

  private static final class Counts {
    private double asked;
    private double placed;
    private long updatedNanos;

    void add(int askedNow, int placedNow, long nowNanos) {
      double factor = Math.pow(0.5, (nowNanos - updatedNanos) / HALF_LIFE_NANOS);
      asked = asked * factor + askedNow;
      placed = placed * factor + placedNow;
      updatedNanos = nowNanos;
    }

    boolean isStarved(Counts all) {
      return asked >= MIN_REQUESTS && placed * all.asked < STARVED_RATIO * asked * all.placed;
    }
  }
}
