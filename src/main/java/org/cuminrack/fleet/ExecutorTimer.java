package org.cuminrack.fleet;

import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminrack.lifecycle.ServiceThreads;

/** A timer with one thread. Thread-safe. */
final class ExecutorTimer implements Timer {
  private ScheduledExecutorService worker;

  @Override
  public synchronized void start() {
    worker = ServiceThreads.scheduler("fleet-control");
  }

  @Override
  public synchronized void stop() {
    if (worker != null) {
      worker.shutdownNow();
      worker = null;
    }
  }

  @Override
  public synchronized boolean runAfter(Duration delay, Runnable task) {
    if (worker == null) {
      return false;
    }
    try {
      worker.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
      return true;
    } catch (RejectedExecutionException e) {
      // The timer was stopped concurrently.
      return false;
    }
  }
}
