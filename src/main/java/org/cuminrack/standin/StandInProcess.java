package org.cuminrack.standin;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cuminrack.log.LogEvent;

/**
 * Runs one stand-in as a process: SIGTERM is a planned leave that ends with exit code 0 once
 * nothing runs any more.
 */
public final class StandInProcess {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int EXIT_CRASHED = 137;
  private static final int POLL_MILLIS = 100;
  private static final int QUIET_POLLS = 20;

  private final StandIn standIn;

  private StandInProcess(StandIn standIn) {
    this.standIn = standIn;
  }

  /** Returns the process of a stand-in that is not started yet. */
  public static StandInProcess of(StandIn standIn) {
    return new StandInProcess(standIn);
  }

  /** Ends this process as a crash does: at once. */
  public static void crash() {
    Runtime.getRuntime().halt(EXIT_CRASHED);
  }

  /** Runs until the process is told to end; never returns. */
  public void run() {
    standIn.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::leaveAndEnd, "leave"));
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void leaveAndEnd() {
    logger.atInfo().log("%s", LogEvent.named("leaving").with("address", standIn.address()));
    standIn.leave();
    awaitQuiet();
    standIn.stop();
    Runtime.getRuntime().halt(0);
  }

  /** Waits until the stand-in has been free of work for a while on end. */
  private void awaitQuiet() {
    int quiet = 0;
    while (quiet < QUIET_POLLS) {
      quiet = standIn.mayEnd() ? quiet + 1 : 0;
      try {
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
