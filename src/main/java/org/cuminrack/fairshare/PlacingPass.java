package org.cuminrack.fairshare;

/**
 * What has failed in one pass over a queue, so that the pass ends early. A request that doesn't fit
 * lets smaller ones pass, but less urgent ones only if room is kept for it. Not thread-safe.
 */
final class PlacingPass {
  private static final int MAX_FAILED_ATTEMPTS = 4;

  private int failures;
  private long smallestFailedUnits = Long.MAX_VALUE;
  private int blockedPriority = Integer.MAX_VALUE;

  void recordFailure(QueueEntry entry) {
    failures++;
    smallestFailedUnits = Math.min(smallestFailedUnits, entry.request.units());
    if (!entry.placing.holdsRoom()) {
      blockedPriority = Math.min(blockedPriority, entry.request.claimant().priority());
    }
  }

  /** Returns whether neither this entry nor a later one may be placed. */
  boolean isOver(QueueEntry entry) {
    return failures >= MAX_FAILED_ATTEMPTS || entry.request.claimant().priority() > blockedPriority;
  }

  /** Returns whether a request that needs no more than this one has failed. */
  boolean cannotFit(QueueEntry entry) {
    return !entry.placing.holdsRoom() && entry.request.units() >= smallestFailedUnits;
  }
}
