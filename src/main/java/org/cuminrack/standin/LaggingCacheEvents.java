package org.cuminrack.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.SplittableRandom;

/** Delays batches of cache changes and drops some of them. */
public final class LaggingCacheEvents {
  private static final int PERCENT = 100;

  private final long lagNanos;
  private final int lossPercent;
  private final SplittableRandom random;
  private final Deque<Batch> pending = new ArrayDeque<>();
  private long sequence;

  public LaggingCacheEvents(Duration lag, int lossPercent, long seed) {
    this.lagNanos = lag.toNanos();
    this.lossPercent = lossPercent;
    this.random = new SplittableRandom(seed);
  }

  /** Adds a batch. A dropped batch still consumes a sequence number, which leaves a gap. */
  public void add(long nowNanos, CacheChange change) {
    if (change.isEmpty()) {
      return;
    }
    sequence++;
    if (random.nextInt(PERCENT) >= lossPercent) {
      pending.addLast(new Batch(nowNanos, sequence, change));
    }
  }

  /** Removes and returns the oldest batch if its delay has passed. */
  public Optional<Batch> poll(long nowNanos) {
    Batch first = pending.peekFirst();
    if (first == null || first.addedNanos > nowNanos - lagNanos) {
      return Optional.empty();
    }
    return Optional.of(pending.pollFirst());
  }

  /** A batch and its sequence number. */
  public record Batch(long addedNanos, long sequence, CacheChange change) {}
}
