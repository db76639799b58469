package org.cuminrack.fairshare;

/** Places one request. Called under the lock of its queue, on any thread. */
public interface Placing {

  /** Reserves capacity for the request; returns whether there was room. */
  boolean tryPlace();

  /**
   * Counts the requests that could be placed now.
   *
   * @param units capacity that each of them needs
   * @param limit the count at which counting may stop
   */
  int freePlaces(long units, int limit);

  /** Returns the capacity of the service that requests of all gateways hold. */
  long unitsInUse();

  /** Tries to keep capacity that is released, so that smaller requests don't take it first. */
  void tryHoldRoom();

  /** Returns whether capacity is kept for this request. */
  boolean holdsRoom();

  /** Gives up the capacity kept by {@link #tryHoldRoom}, if any. */
  void releaseRoom();

  /** Receives that the request, which has left the queue, can't be placed in time. */
  void refused();
}
