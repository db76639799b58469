package org.cuminrack.fairshare;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cuminrack.time.Clock;

/**
 * When refused callers of one service are told to come back, and who has come back as told. Callers
 * are identified by the organisation and content of their request, so that no answer carries state
 * that a caller could forge. A restart forgets all; callers then count as new. Thread-safe.
 */
public final class ReturnOrder {
  private static final int MAX_TICKETS = 2_000;

  private static final Duration MIN_DELAY = Duration.ofMillis(100);

  /** Callers may be slow to come back, but a ticket isn't kept for a later request. */
  private static final Duration TICKET_LIFETIME = Duration.ofSeconds(20);

  private final Clock clock;
  private final RandomGenerator random;
  private final Map<String, Long> dueNanosByKey =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_TICKETS;
        }
      };
  private long lastDueNanos;

  public ReturnOrder(Clock clock, RandomGenerator random) {
    this.clock = clock;
    this.random = random;
    this.lastDueNanos = clock.nanoTime();
  }

  /**
   * Returns after what time a refused caller is to come back: when a place is due for it, and after
   * the callers that were refused before it.
   *
   * @param key identifies the organisation and content of the request
   * @param untilPlace the predicted time until a place comes free
   * @param perPlace the predicted time between two places at this gateway
   * @param longest the longest delay that the caller observes
   */
  public synchronized Duration refuse(
      String key, Duration untilPlace, Duration perPlace, Duration longest) {
    long nowNanos = clock.nanoTime();
    long latestNanos = nowNanos + longest.toNanos();
    long dueNanos =
        Math.max(
            nowNanos + Math.max(MIN_DELAY.toNanos(), untilPlace.toNanos()),
            lastDueNanos + perPlace.toNanos());
    Long earlier = dueNanosByKey.remove(key);
    if (earlier != null) {
      // Coming back early doesn't bring the place forward.
      dueNanos = Math.max(dueNanos, earlier);
    }
    if (dueNanos > latestNanos) {
      // All of them can't come last; the second half of the time is shared evenly.
      dueNanos = latestNanos - (long) (longest.toNanos() / 2.0 * random.nextDouble());
    } else {
      lastDueNanos = dueNanos;
    }
    dueNanosByKey.put(key, dueNanos);
    return Duration.ofNanos(dueNanos - nowNanos);
  }

  /**
   * Returns whether a request was refused and has come back as told; true once for each refusal.
   */
  public synchronized boolean takeReturn(String key) {
    Long dueNanos = dueNanosByKey.get(key);
    if (dueNanos == null) {
      return false;
    }
    long sinceDueNanos = clock.nanoTime() - dueNanos;
    if (sinceDueNanos < 0) {
      return false;
    }
    dueNanosByKey.remove(key);
    return sinceDueNanos <= TICKET_LIFETIME.toNanos();
  }
}
