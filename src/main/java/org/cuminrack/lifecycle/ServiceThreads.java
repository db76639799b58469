package org.cuminrack.lifecycle;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.RunnableScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.cuminrack.log.LogEvent;

/** Creates the threads that services run their own tasks on. */
public final class ServiceThreads {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private ServiceThreads() {}

  /**
   * Returns an executor with one daemon thread. An error in a task, or an exception that ends a
   * periodic task, ends the process: the service would go on without it unnoticed. An exception in
   * another task is logged.
   */
  public static ScheduledThreadPoolExecutor scheduler(String name) {
    return scheduler(name, FailureHandler.endingProcess());
  }

  static ScheduledThreadPoolExecutor scheduler(String name, FailureHandler onFailure) {
    return new Scheduler(name, onFailure);
  }

  private static final class Scheduler extends ScheduledThreadPoolExecutor {
    private final String name;
    private final FailureHandler onFailure;

    Scheduler(String name, FailureHandler onFailure) {
      super(
          1,
          task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
          });
      this.name = name;
      this.onFailure = onFailure;
    }

    @Override
    protected void afterExecute(Runnable task, Throwable thrown) {
      super.afterExecute(task, thrown);
      Throwable cause = thrown != null ? thrown : failureOf(task);
      if (cause == null) {
        return;
      }
      boolean endsSchedule =
          task instanceof RunnableScheduledFuture<?> scheduled && scheduled.isPeriodic();
      if (cause instanceof Error || endsSchedule) {
        onFailure.failed(name, cause);
      } else {
        logger.atSevere().withCause(cause).log(
            "%s", LogEvent.named("task-failed").with("thread", name));
      }
    }

    private static Throwable failureOf(Runnable task) {
      if (!(task instanceof Future<?> future) || !future.isDone()) {
        return null;
      }
      try {
        future.get();
        return null;
      } catch (ExecutionException e) {
        return e.getCause();
      } catch (CancellationException e) {
        return null;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return null;
      }
    }
  }
}
