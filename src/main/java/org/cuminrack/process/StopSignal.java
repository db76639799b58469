package org.cuminrack.process;

import java.util.concurrent.CountDownLatch;

/**
 * Waits for SIGTERM or SIGINT, holds the process until its planned stop is done, and ends it with
 * exit code 0.
 */
public final class StopSignal {
  private final CountDownLatch asked = new CountDownLatch(1);
  private final CountDownLatch done = new CountDownLatch(1);

  private StopSignal() {}

  /** Returns a signal that the JVM's shutdown sets. */
  public static StopSignal ofThisProcess() {
    StopSignal signal = new StopSignal();
    Runtime.getRuntime().addShutdownHook(new Thread(signal::shutdown, "stop-signal"));
    return signal;
  }

  /** Waits until the process is asked to stop. */
  public void await() {
    awaitQuietly(asked);
  }

  /** Lets the process end: everything is stopped. */
  public void done() {
    done.countDown();
  }

  private void shutdown() {
    asked.countDown();
    awaitQuietly(done);
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
