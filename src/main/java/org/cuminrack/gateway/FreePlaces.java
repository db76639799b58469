package org.cuminrack.gateway;

import java.time.Duration;
import java.util.List;
import org.cuminrack.routing.EngineSpec;

/** Counts the requests that fit on the upstreams of a service. Stateless and does no I/O. */
final class FreePlaces {
  private FreePlaces() {}

  /**
   * Returns how many generations of this size fit, at most the limit.
   *
   * @param shortestTarget the shortest target latency of the service's generations
   */
  static int forGenerations(
      List<Candidate> candidates,
      EngineSpec engine,
      long tokens,
      Duration shortestTarget,
      int limit) {
    long usable = Placement.usableTokens(engine);
    long places = 0;
    for (Candidate candidate : candidates) {
      UpstreamLoad load = candidate.load();
      if (PrefillTime.mayPrefillMore(load, shortestTarget)) {
        long inMemory = Math.max(0, usable - load.reservedTokens()) / Math.max(1, tokens);
        places += Math.min(inMemory, Math.max(0, engine.batchSlots() - load.requests()));
      }
      if (places >= limit) {
        return limit;
      }
    }
    return (int) places;
  }

  /** Returns how many plain requests fit, at most the limit. */
  static int forPlainRequests(List<Candidate> candidates, int limit) {
    int places = 0;
    for (Candidate candidate : candidates) {
      places += Math.max(0, Placement.maxPlainRequests(candidate) - candidate.load().requests());
    }
    return Math.min(limit, places);
  }
}
