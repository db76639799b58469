package org.cuminrack.relay;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.cuminrack.config.Organisation;

/** Limits the number of concurrent requests of each organisation on this entry. Thread-safe. */
final class OrganisationLimiter {
  private final ConcurrentMap<String, Integer> requestCounts = new ConcurrentHashMap<>();

  /** Counts a new request; returns false if the organisation is at its limit. */
  boolean tryAcquire(Organisation organisation) {
    int limit = organisation.maxConcurrentRequests();
    boolean[] acquired = new boolean[1];
    requestCounts.compute(
        organisation.name(),
        (name, count) -> {
          int current = count == null ? 0 : count;
          acquired[0] = current < limit;
          return acquired[0] ? Integer.valueOf(current + 1) : count;
        });
    return acquired[0];
  }

  /** Counts the end of a request. */
  void release(String organisation) {
    requestCounts.computeIfPresent(organisation, (name, count) -> count == 1 ? null : count - 1);
  }
}
