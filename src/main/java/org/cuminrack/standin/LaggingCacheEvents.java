package org.cuminrack.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.SplittableRandom;

/** Holds batches of cache changes back and loses some of them. */
public final class LaggingCacheEvents {
  private static final int PERCENT = 100;

  private final long lagNanos;
  private final int lossPercent;
  private final SplittableRandom random;
  private final Deque<Batch> held = new ArrayDeque<>();
  private long sequence;

  public LaggingCacheEvents(Duration lag, int lossPercent, long seed) {
    this.lagNanos = lag.toNanos();
    this.lossPercent = lossPercent;
    this.random = new SplittableRandom(seed);
  }

  /** Takes a batch in at an instant; a lost batch uses its number up. */
  public void add(long nanos, CacheChange change) {
    if (change.isEmpty()) {
      return;
    }
    sequence++;
    if (random.nextInt(PERCENT) >= lossPercent) {
      held.addLast(new Batch(nanos, sequence, change));
    }
  }

  /** Returns the next batch that is old enough to be sent. */
  public Optional<Batch> next(long nanos) {
    Batch first = held.peekFirst();
    if (first == null || first.nanos > nanos - lagNanos) {
      return Optional.empty();
    }
    return Optional.of(held.pollFirst());
  }

  /** A batch and its number. */
  public record Batch(long nanos, long sequence, CacheChange change) {}
}
