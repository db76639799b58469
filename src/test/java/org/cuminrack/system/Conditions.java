package org.cuminrack.system;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Polls a condition until it holds, and fails with its description on timeout. */
public final class Conditions {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

  private Conditions() {}

  public static void await(String description, Duration timeout, BooleanSupplier condition) {
    awaitValue(description, timeout, () -> condition.getAsBoolean() ? true : null, () -> "");
  }

  /** Polls until the supplier returns a value other than null, and returns that value. */
  public static <T> T awaitValue(
      String description, Duration timeout, Supplier<T> value, Supplier<String> failureDetail) {
    long endNanos = System.nanoTime() + timeout.toNanos();
    while (System.nanoTime() < endNanos) {
      T found = value.get();
      if (found != null) {
        return found;
      }
      LockSupport.parkNanos(POLL_INTERVAL.toNanos());
    }
    throw new AssertionError(
        "waited " + timeout + " for " + description + "\n" + failureDetail.get());
  }
}
