package org.cuminrack.fairshare;

import java.util.OptionalLong;

/** Predicts waits at one service, and corrects predictions by how long requests really waited. */
final class WaitEstimates {
  private final ReleaseRate releaseRate = new ReleaseRate();
  private final EstimateCorrection correction = new EstimateCorrection();

  /** Records that a request has released its capacity. */
  void recordRelease(QueueEntry entry, long heldNanos) {
    releaseRate.recordRelease(entry.request.units(), heldNanos);
  }

  /** Returns the uncorrected wait until this much capacity is released, in nanoseconds. */
  OptionalLong raw(long neededUnits, long unitsInUse) {
    return releaseRate.nanosUntilReleased(neededUnits, unitsInUse);
  }

  /** Returns the corrected wait, in nanoseconds. */
  long corrected(QueueEntry entry, long rawNanos) {
    return correction.corrected(priority(entry), rawNanos);
  }

  /** Stores the estimate made at a request's entry. */
  void recordEntry(QueueEntry entry, OptionalLong raw) {
    if (raw.isPresent()) {
      entry.rawEstimateNanos = raw.getAsLong();
      entry.estimateNanos = corrected(entry, raw.getAsLong());
    }
  }

  /** Records how long a request waited that is placed now. */
  void recordPlaced(QueueEntry entry) {
    if (entry.rawEstimateNanos >= 0) {
      correction.record(priority(entry), entry.rawEstimateNanos, entry.queuedNanos);
    }
  }

  /** Records a refused request, whose wait would have been longer than it was. */
  void recordRefused(QueueEntry entry) {
    if (entry.queuedNanos > entry.rawEstimateNanos) {
      recordPlaced(entry);
    }
  }

  private static int priority(QueueEntry entry) {
    return entry.request.claimant().priority();
  }
}
