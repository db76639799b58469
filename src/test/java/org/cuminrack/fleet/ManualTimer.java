package org.cuminrack.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.cuminrack.time.ManualClock;

/**
 * A timer on a manual clock. While it is paused, due tasks wait, like those of a frozen process.
 */
final class ManualTimer implements Timer {
  private final Tasks tasks;
  private final List<Runnable> waiting = new ArrayList<>();
  private boolean paused;
  private boolean ended;

  ManualTimer(Tasks tasks) {
    this.tasks = tasks;
  }

  @Override
  public boolean runAfter(Duration delay, Runnable task) {
    tasks.add(delay, () -> run(task));
    return true;
  }

  /** Runs a task now, or when the timer is no longer paused. */
  void run(Runnable task) {
    if (paused) {
      waiting.add(task);
    } else if (!ended) {
      task.run();
    }
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    List<Runnable> due = List.copyOf(waiting);
    waiting.clear();
    due.forEach(this::run);
  }

  @Override
  public void start() {}

  @Override
  public void stop() {
    ended = true;
  }

  /** The tasks of all timers of a test, by time. */
  static final class Tasks {
    private final ManualClock clock;
    private final PriorityQueue<Task> queue =
        new PriorityQueue<>(Comparator.comparingLong(Task::atNanos).thenComparing(Task::number));
    private long lastNumber;

    Tasks(ManualClock clock) {
      this.clock = clock;
    }

    void add(Duration delay, Runnable task) {
      queue.add(new Task(clock.nanoTime() + delay.toNanos(), ++lastNumber, task));
    }

    /** Advances the clock and runs the tasks that become due. */
    void advance(Duration by) {
      long untilNanos = clock.nanoTime() + by.toNanos();
      while (!queue.isEmpty() && queue.peek().atNanos <= untilNanos) {
        Task task = queue.remove();
        clock.advance(Duration.ofNanos(task.atNanos - clock.nanoTime()));
        task.task.run();
      }
      clock.advance(Duration.ofNanos(untilNanos - clock.nanoTime()));
    }

    private record Task(long atNanos, long number, Runnable task) {}
  }
}
