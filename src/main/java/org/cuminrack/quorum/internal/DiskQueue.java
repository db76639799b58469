package org.cuminrack.quorum.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The writes that a replica's disk has yet to execute, and the packets that wait for them, in the
 * order of the core's effects. Once the disk has refused a write, that write and what must not
 * overtake it are deferred until {@link #retry()}:
 *
 * <ul>
 *   <li>A vote overtakes entries, but neither an earlier vote nor a snapshot that resets the log,
 *       since that may have made the replica a voter.
 *   <li>A packet that waits for a deferred vote or snapshot is dropped, as the network may drop it
 *       too. Otherwise packets would add up for as long as the disk refuses.
 *   <li>A snapshot of the replica's own state is dropped: the next one replaces it.
 * </ul>
 *
 * <p>Not thread-safe.
 */
public final class DiskQueue {
  private final Deque<Effect> pending = new ArrayDeque<>();
  private final List<Effect> deferred = new ArrayList<>();
  private boolean refusing;

  /** Adds a write or a packet. */
  public void add(Effect effect) {
    pending.add(effect);
  }

  /** Removes and returns the next effect to execute; null if there is none. */
  public Effect poll() {
    while (!pending.isEmpty()) {
      Effect effect = pending.remove();
      if (!refusing || mayOvertakeDeferred(effect)) {
        return effect;
      }
      defer(effect);
    }
    return null;
  }

  /** Removes the entries that directly follow others and returns all of them as one write. */
  public Effect.AppendLog batchStartingWith(Effect.AppendLog first) {
    List<LogEntry> entries = new ArrayList<>(first.entries());
    while (pending.peek() instanceof Effect.AppendLog next && next.epoch() == first.epoch()) {
      entries.addAll(next.entries());
      pending.remove();
    }
    return new Effect.AppendLog(first.epoch(), entries);
  }

  private boolean mayOvertakeDeferred(Effect effect) {
    boolean isVoteOrPacket = effect instanceof Effect.SaveVote || effect instanceof Effect.Send;
    return isVoteOrPacket
        && deferred.stream().allMatch(before -> before instanceof Effect.AppendLog);
  }

  /** Returns the number of effects that were not deferred. */
  int size() {
    return pending.size();
  }

  /** Defers a write that the disk has just refused, and all that must not overtake it. */
  public void refused(Effect write) {
    refusing = true;
    defer(write);
  }

  private void defer(Effect effect) {
    if (effect instanceof Effect.Send) {
      return;
    }
    if (effect instanceof Effect.SaveSnapshot snapshot && !snapshot.resetsLog()) {
      return;
    }
    if (effect instanceof Effect.SaveVote vote && replacesDeferredVote(vote)) {
      return;
    }
    deferred.add(effect);
  }

  /** Replaces the last deferred vote, unless it is followed by a snapshot that must come first. */
  private boolean replacesDeferredVote(Effect.SaveVote vote) {
    for (int i = deferred.size() - 1; i >= 0; i--) {
      if (deferred.get(i) instanceof Effect.SaveVote) {
        deferred.set(i, vote);
        return true;
      }
      if (deferred.get(i) instanceof Effect.SaveSnapshot) {
        return false;
      }
    }
    return false;
  }

  /** Makes the deferred writes due again, before all that was added since. */
  public void retry() {
    refusing = false;
    for (int i = deferred.size() - 1; i >= 0; i--) {
      pending.addFirst(deferred.get(i));
    }
    deferred.clear();
  }

  /** Returns whether a write was refused and {@link #retry()} was not called since. */
  public boolean isRefusing() {
    return refusing;
  }

  /** Returns whether a retry would write anything. */
  public boolean hasDeferredWrites() {
    return !deferred.isEmpty();
  }
}
