package org.cuminrack.lifecycle;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A service must not go on unnoticed without its thread. */
class ServiceThreadsTest {
  private final CompletableFuture<String> failure = new CompletableFuture<>();
  private final ScheduledThreadPoolExecutor executor =
      ServiceThreads.scheduler("service", (part, cause) -> failure.complete(part + ": " + cause));

  @AfterEach
  void stop() {
    executor.shutdownNow();
  }

  @Test
  void shouldReportAnErrorInAnyTask() {
    executor.execute(
        () -> {
          throw new OutOfMemoryError("test");
        });

    assertThat(failure.join()).isEqualTo("service: java.lang.OutOfMemoryError: test");
  }

  @Test
  void shouldReportAnExceptionThatEndsAPeriodicTask() {
    executor.scheduleWithFixedDelay(() -> Integer.parseInt("x"), 0, 1, TimeUnit.MILLISECONDS);

    assertThat(failure.join()).startsWith("service: java.lang.NumberFormatException");
  }

  @Test
  void shouldGoOnAfterAnExceptionInASingleTask() throws Exception {
    executor.execute(() -> Integer.parseInt("x"));

    assertThat(executor.submit(() -> "next").get()).isEqualTo("next");
    assertThat(failure.isDone()).isFalse();
  }
}
