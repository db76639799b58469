package org.cuminrack.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Delays samples of an engine's load. */
public final class LaggingLoad {
  private final long lagNanos;
  private final Deque<Sample> samples = new ArrayDeque<>();

  public LaggingLoad(Duration lag) {
    this.lagNanos = lag.toNanos();
  }

  /**
   * Adds the current load and returns the newest sample that is at least as old as the lag, or the
   * oldest sample if none is.
   */
  public EngineLoad sample(long nowNanos, EngineLoad load) {
    samples.addLast(new Sample(nowNanos, load));
    Sample chosen = samples.peekFirst();
    while (samples.peekFirst() != null && samples.peekFirst().sampledNanos <= nowNanos - lagNanos) {
      chosen = samples.pollFirst();
    }
    samples.addFirst(chosen);
    return chosen.load;
  }

  private record Sample(long sampledNanos, EngineLoad load) {}
}
