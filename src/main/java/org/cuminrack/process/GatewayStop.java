package org.cuminrack.process;

import java.time.Duration;
import org.cuminrack.gateway.GatewayHandler;
import org.cuminrack.time.Clock;

/**
 * The planned stop of a gateway, from the end of its listing in the directory to the end of its
 * last request.
 */
final class GatewayStop {
  /** Callers cache a gateway's address for its TTL, some for three times as long. */
  private static final Duration CACHED_ADDRESS_EXPIRY = Duration.ofMillis(6500);

  /** Time to send the responses of the requests that are ended with the stop. */
  private static final Duration FINAL_RESPONSES_TIME = Duration.ofMillis(250);

  private static final Duration IDLE_POLL_INTERVAL = Duration.ofMillis(50);

  private final GatewayHandler handler;
  private final Duration stopTimeout;
  private final Clock clock;

  GatewayStop(GatewayHandler handler, Duration stopTimeout, Clock clock) {
    this.handler = handler;
    this.stopTimeout = stopTimeout;
    this.clock = clock;
  }

  /**
   * Serves callers that have cached the address, as far as their requests end in time, and lets
   * requests in progress complete. Ends the requests that are left at the end of the stop timeout,
   * which may take {@link #FINAL_RESPONSES_TIME} more; returns how many these are.
   */
  int awaitLastRequest() {
    awaitIdle(CACHED_ADDRESS_EXPIRY, stopTimeout);
    int unfinished = handler.counters().running();
    handler.endStop();
    awaitIdle(Duration.ZERO, FINAL_RESPONSES_TIME);
    return unfinished;
  }

  /** Waits until no request is in progress, for the shortest time at least. */
  private void awaitIdle(Duration shortest, Duration longest) {
    long startNanos = clock.nanoTime();
    try {
      while (true) {
        long elapsedNanos = clock.nanoTime() - startNanos;
        boolean idle = handler.counters().running() == 0;
        boolean doneEarly = idle && elapsedNanos >= shortest.toNanos();
        if (doneEarly || elapsedNanos >= longest.toNanos()) {
          return;
        }
        Thread.sleep(IDLE_POLL_INTERVAL.toMillis());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
