package org.cuminrack.standin;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cuminrack.log.LogEvent;

/**
 * Runs one stand-in as a process. On SIGTERM the stand-in reports that it is leaving; the process
 * exits with code 0 once the stand-in is idle.
 */
public final class StandInProcess {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int EXIT_CRASHED = 137;
  private static final int POLL_INTERVAL_MILLIS = 100;
  private static final int REQUIRED_IDLE_POLLS = 20;

  private final StandIn standIn;

  private StandInProcess(StandIn standIn) {
    this.standIn = standIn;
  }

  /** Returns a process for a stand-in that has not been started yet. */
  public static StandInProcess of(StandIn standIn) {
    return new StandInProcess(standIn);
  }

  /** Halts this process immediately, as a crash does. */
  public static void crash() {
    Runtime.getRuntime().halt(EXIT_CRASHED);
  }

  /** Runs until the process receives a stop signal; does not return. */
  public void run() {
    standIn.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::leaveAndStop, "leave"));
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void leaveAndStop() {
    logger.atInfo().log("%s", LogEvent.named("leaving").with("address", standIn.address()));
    standIn.leave();
    awaitIdle();
    standIn.stop();
    Runtime.getRuntime().halt(0);
  }

  /** Waits until the stand-in has been ready to stop for several consecutive polls. */
  private void awaitIdle() {
    int idlePolls = 0;
    while (idlePolls < REQUIRED_IDLE_POLLS) {
      idlePolls = standIn.canStop() ? idlePolls + 1 : 0;
      try {
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
