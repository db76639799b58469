package org.cuminrack.rollout;

/**
 * The upstreams of a service that accept requests and are not warming up.
 *
 * @param newUpstreams those of the new version
 * @param newSlots the requests that these process concurrently
 * @param formerSlots the requests that all others process concurrently
 */
public record VersionCapacity(int newUpstreams, int newSlots, int formerSlots) {

  /** Returns whether the new version's upstreams can take the place of the others. */
  boolean isFull() {
    return newUpstreams > 0 && newSlots >= formerSlots;
  }

  /** Returns whether they can take it if need be, with less room. */
  boolean isSufficient() {
    return newUpstreams > 0 && 2 * newSlots >= formerSlots;
  }
}
