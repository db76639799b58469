package org.cuminrack.fairshare;

import java.time.Duration;
import java.util.Optional;

/**
 * One request at a service: placed, waiting, refused or ended. Its state is guarded by the lock of
 * its queue.
 */
public final class QueueEntry {
  private final ServiceQueue queue;
  final ShareRequest request;
  final Placing placing;
  final long sequence;
  final long enteredNanos;
  State state = State.WAITING;

  /** The estimates made at the entry, before and after correction; negative if there was none. */
  long rawEstimateNanos = -1;

  long estimateNanos = -1;

  /** The predicted time between two places of this size at this gateway; 0 if unknown. */
  long perPlaceNanos;

  /** The time since which there has been room that is left to better claims; negative if none. */
  long yieldingSinceNanos = -1;

  /** The part of the capacity in use that the claimant held when the entry was decided on. */
  double share;

  long placedNanos;
  long queuedNanos;

  /** Whether a request waits or has got a place. */
  public enum State {
    /** Waits in the queue. */
    WAITING,
    /** Holds capacity. */
    PLACED,
    /** Can't be placed in time. */
    REFUSED,
    /** Has left the queue or released its capacity. */
    ENDED
  }

  QueueEntry(
      ServiceQueue queue, ShareRequest request, Placing placing, long sequence, long nowNanos) {
    this.queue = queue;
    this.request = request;
    this.placing = placing;
    this.sequence = sequence;
    this.enteredNanos = nowNanos;
  }

  public ShareRequest request() {
    return request;
  }

  public State state() {
    synchronized (queue) {
      return state;
    }
  }

  /** Returns the wait that was predicted at the entry; empty if nothing was known to predict it. */
  public Optional<Duration> estimatedWait() {
    synchronized (queue) {
      return estimateNanos < 0 ? Optional.empty() : Optional.of(Duration.ofNanos(estimateNanos));
    }
  }

  /**
   * Returns the predicted time between two places of this size at this gateway; zero if unknown.
   */
  public Duration timePerPlace() {
    synchronized (queue) {
      return Duration.ofNanos(perPlaceNanos);
    }
  }

  /** Returns how long the request waited, or has waited so far. */
  public Duration queuedFor() {
    synchronized (queue) {
      return Duration.ofNanos(queue.queuedNanos(this));
    }
  }

  /** Returns the claimant's part of the capacity in use when the entry was decided on. */
  public double share() {
    synchronized (queue) {
      return share;
    }
  }

  /** Refuses the request if it waits and no place is expected to come in time. */
  public void review() {
    queue.review(this);
  }

  /** Removes a waiting request from the queue, or releases the capacity of a placed one. */
  public void end() {
    queue.end(this, true);
  }

  /** Ends a request that was placed but not sent. */
  public void withdraw() {
    queue.end(this, false);
  }
}
