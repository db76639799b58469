package org.cuminrack.member;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminrack.lifecycle.ServiceThreads;
import org.cuminrack.log.LogEvent;

/** The single thread of a membership. Before it is started, tasks run on the caller's thread. */
final class MembershipThread {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

  private volatile ScheduledExecutorService executor;

  void start(Runnable tick) {
    executor = ServiceThreads.scheduler("membership");
    executor.scheduleWithFixedDelay(
        () -> runOrLog(tick), 0, TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  void execute(Runnable task) {
    ScheduledExecutorService current = executor;
    if (current == null) {
      task.run();
      return;
    }
    try {
      current.execute(() -> runOrLog(task));
    } catch (RejectedExecutionException e) {
      // The thread was stopped concurrently, so the task is dropped.
    }
  }

  void stop() {
    if (executor == null) {
      return;
    }
    executor.shutdownNow();
    try {
      executor.awaitTermination(1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void runOrLog(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("%s", LogEvent.named("membership-task-failed"));
    }
  }
}
