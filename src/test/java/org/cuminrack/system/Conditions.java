package org.cuminrack.system;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits for what must come true, and says what it waited for when it doesn't. */
public final class Conditions {
  private static final Duration PAUSE = Duration.ofMillis(20);

  private Conditions() {}

  public static void await(String what, Duration timeout, BooleanSupplier condition) {
    awaitValue(what, timeout, () -> condition.getAsBoolean() ? true : null, () -> "");
  }

  static <T> T awaitValue(
      String what, Duration timeout, Supplier<T> value, Supplier<String> onFailure) {
    long endNanos = System.nanoTime() + timeout.toNanos();
    while (System.nanoTime() < endNanos) {
      T found = value.get();
      if (found != null) {
        return found;
      }
      LockSupport.parkNanos(PAUSE.toNanos());
    }
    throw new AssertionError("waited " + timeout + " for " + what + "\n" + onFailure.get());
  }
}
