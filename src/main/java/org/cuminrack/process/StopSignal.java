package org.cuminrack.process;

import java.util.concurrent.CountDownLatch;

/**
 * Waits for SIGTERM or SIGINT, delays the exit of the process until its graceful stop is complete,
 * and exits with code 0.
 */
public final class StopSignal {
  private final CountDownLatch stopRequested = new CountDownLatch(1);
  private final CountDownLatch stopped = new CountDownLatch(1);

  private StopSignal() {}

  /** Registers a shutdown hook and returns the signal that it sets. */
  public static StopSignal install() {
    StopSignal signal = new StopSignal();
    Runtime.getRuntime().addShutdownHook(new Thread(signal::shutdown, "stop-signal"));
    return signal;
  }

  /** Waits until the JVM begins to shut down. */
  public void await() {
    awaitQuietly(stopRequested);
  }

  /** Lets the process exit; call once all services are stopped. */
  public void allowExit() {
    stopped.countDown();
  }

  private void shutdown() {
    stopRequested.countDown();
    awaitQuietly(stopped);
    Runtime.getRuntime().halt(0);
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
