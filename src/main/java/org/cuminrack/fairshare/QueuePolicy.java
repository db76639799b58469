package org.cuminrack.fairshare;

import java.util.Comparator;

/** The order in which requests that wait for a service get a place, and for how long they wait. */
public enum QueuePolicy {
  /** By priority and arrival; each waits as long as a place is early enough for its target. */
  ARRIVAL {
    @Override
    Comparator<QueueEntry> order(QueueView view) {
      return BY_ARRIVAL;
    }

    @Override
    boolean sharesFairly() {
      return false;
    }
  },
  /**
   * By priority and the fair shares of organisations over all gateways; each waits while a place is
   * expected in time.
   */
  FAIR_SHARES {
    @Override
    Comparator<QueueEntry> order(QueueView view) {
      return view.order();
    }

    @Override
    boolean sharesFairly() {
      return true;
    }
  };

  private static final Comparator<QueueEntry> BY_ARRIVAL =
      Comparator.comparingInt((QueueEntry entry) -> entry.request.claimant().priority())
          .thenComparingLong(entry -> entry.sequence);

  abstract Comparator<QueueEntry> order(QueueView view);

  /**
   * Returns whether a request leaves room to better claims at other gateways, large ones are kept
   * room for, and requests are refused by the estimated wait.
   */
  abstract boolean sharesFairly();
}
