package org.cuminrack.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Remembers samples of a load and gives back the one of a while ago. */
public final class LaggingLoad {
  private final long lagNanos;
  private final Deque<Sample> samples = new ArrayDeque<>();

  public LaggingLoad(Duration lag) {
    this.lagNanos = lag.toNanos();
  }

  /** Adds the load at an instant and returns the newest one that is old enough. */
  public EngineLoad sample(long nanos, EngineLoad load) {
    samples.addLast(new Sample(nanos, load));
    Sample chosen = samples.peekFirst();
    while (samples.peekFirst() != null && samples.peekFirst().nanos <= nanos - lagNanos) {
      chosen = samples.pollFirst();
    }
    samples.addFirst(chosen);
    return chosen.load;
  }

  private record Sample(long nanos, EngineLoad load) {}
}
