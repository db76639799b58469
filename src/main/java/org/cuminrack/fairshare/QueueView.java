package org.cuminrack.fairshare;

import java.util.OptionalLong;

/** The shares and the order at one moment, and what they mean for a request. Not thread-safe. */
final class QueueView {
  private final ServiceShares shares;
  private final ShareOrder order;
  private final WaitEstimates estimates;
  private long unitsInUse = -1;

  QueueView(ServiceShares shares, ShareOrder order, WaitEstimates estimates) {
    this.shares = shares;
    this.order = order;
    this.estimates = estimates;
  }

  ServiceShares shares() {
    return shares;
  }

  ShareOrder order() {
    return order;
  }

  /** Returns what waits at other gateways on a better claim than a request. */
  ServiceShares.Ahead aheadElsewhere(QueueEntry entry) {
    return order.precedesUrgent(entry)
        ? ServiceShares.Ahead.NONE
        : shares.aheadElsewhere(entry.request, order.isOfStarvedOrganisation(entry));
  }

  /**
   * Estimates a wait from the releases observed here: the longer of the time until all better
   * claims are placed, and the time until the claimant's own earlier requests are placed, if it
   * gets its fair part of the releases.
   */
  OptionalLong rawEstimate(QueueEntry entry, UnitsAhead ahead) {
    Claimant claimant = entry.request.claimant();
    long units = entry.request.units();
    long allAhead = ahead.all() + aheadElsewhere(entry).units();
    OptionalLong untilAll = estimates.raw(allAhead + units, unitsInUse(entry));
    if (untilAll.isEmpty() || order.precedesUrgent(entry) || order.isOfStarvedOrganisation(entry)) {
      return untilAll;
    }
    long ownAhead =
        ahead.of(claimant) + (entry.request.returning() ? 0 : shares.waitingElsewhereOf(claimant));
    long fairUnits = (long) (unitsInUse(entry) * shares.fairPart(claimant));
    long untilOwn =
        estimates.raw(ownAhead + units, Math.max(1, fairUnits)).orElse(untilAll.getAsLong());
    return OptionalLong.of(Math.max(untilAll.getAsLong(), untilOwn));
  }

  /** Estimates the time between two places of an entry's size among this gateway's releases. */
  OptionalLong timePerPlace(QueueEntry entry) {
    return estimates.raw(entry.request.units(), shares.ownHeldUnits());
  }

  /** Returns the capacity in use; news of demand may lack what the loads of upstreams tell. */
  private long unitsInUse(QueueEntry entry) {
    if (unitsInUse < 0) {
      unitsInUse = Math.max(shares.allHeldUnits(), entry.placing.unitsInUse());
    }
    return unitsInUse;
  }
}
