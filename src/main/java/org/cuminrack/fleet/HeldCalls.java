package org.cuminrack.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.cuminrack.generated.fleet.WatchCall;

/**
 * Gateways' calls that wait for something new. Safe for use by many threads: one lock, and nothing
 * is called under it.
 */
final class HeldCalls {
  private final Function<WatchCall, byte[]> answer;
  private final List<Held> waiting = new ArrayList<>();

  /**
   * Makes an empty list.
   *
   * @param answer makes a call's answer when its wait ends
   */
  HeldCalls(Function<WatchCall, byte[]> answer) {
    this.answer = answer;
  }

  /** Holds a call until {@link #answerAll} or for this long. */
  CompletableFuture<byte[]> hold(WatchCall call, Duration most, ScheduledExecutorService timer) {
    Held held = new Held(call, new CompletableFuture<>());
    synchronized (this) {
      waiting.add(held);
    }
    timer.schedule(() -> end(held), most.toMillis(), TimeUnit.MILLISECONDS);
    return held.answered;
  }

  private void end(Held held) {
    synchronized (this) {
      waiting.remove(held);
    }
    held.answered.complete(answer.apply(held.call));
  }

  /** Answers every call that waits. */
  void answerAll() {
    List<Held> ended;
    synchronized (this) {
      ended = List.copyOf(waiting);
      waiting.clear();
    }
    ended.forEach(each -> each.answered.complete(answer.apply(each.call)));
  }

  private record Held(WatchCall call, CompletableFuture<byte[]> answered) {}
}
