package org.cuminrack.fairshare;

import java.util.Comparator;

/** The order in which waiting requests are placed, for one snapshot of shares. */
final class ShareOrder implements Comparator<QueueEntry> {
  private final ServedRatios served;
  private final long nowNanos;
  private final Comparator<QueueEntry> order;

  ShareOrder(ServiceShares shares, ServedRatios served, long nowNanos) {
    this.served = served;
    this.nowNanos = nowNanos;
    this.order =
        Comparator.comparingInt(this::effectivePriority)
            .thenComparing(this::isLate)
            .thenComparing(entry -> !isOfStarvedOrganisation(entry))
            .thenComparingDouble(entry -> shares.holdingPerWeight(entry.request.claimant()))
            .thenComparing(entry -> !entry.request.returning())
            .thenComparingLong(entry -> entry.sequence);
  }

  @Override
  public int compare(QueueEntry one, QueueEntry other) {
    return order.compare(one, other);
  }

  /** Returns whether an entry precedes more urgent ones, so that its priority isn't starved. */
  boolean precedesUrgent(QueueEntry entry) {
    return served.isStarved(entry.request.claimant().priority());
  }

  /** Returns whether an entry's organisation comes first within its priority. */
  boolean isOfStarvedOrganisation(QueueEntry entry) {
    return served.isStarved(entry.request.claimant().organisation());
  }

  private int effectivePriority(QueueEntry entry) {
    return precedesUrgent(entry) ? -1 : entry.request.claimant().priority();
  }

  private boolean isLate(QueueEntry entry) {
    return nowNanos > entry.request.onTimeUntilNanos();
  }
}
