package org.cuminrack.gateway;

import java.util.Optional;
import org.cuminrack.fleet.UpstreamRecord;

/**
 * Capacity reserved on an upstream, counted in the load table until it is released. Used by one
 * thread at a time.
 */
final class Reservation {
  private final LoadTable loads;
  private final UpstreamRecord upstream;
  private final UpstreamLoad loadBefore;
  private final Optional<PlacementFacts> facts;
  private long tokens;
  private long pendingPrefillTokens;
  private boolean released;

  private Reservation(
      LoadTable loads,
      UpstreamRecord upstream,
      long tokens,
      long pendingPrefillTokens,
      Optional<PlacementFacts> facts) {
    this.loads = loads;
    this.upstream = upstream;
    this.facts = facts;
    this.loadBefore = loads.total(upstream.id());
    this.tokens = tokens;
    this.pendingPrefillTokens = pendingPrefillTokens;
  }

  /** Reserves a slot for a plain request. */
  static Reservation forPlainRequest(LoadTable loads, UpstreamRecord upstream) {
    return create(loads, upstream, 0, 0, Optional.empty());
  }

  /** Reserves memory for a generation whose prompt has to be prefilled. */
  static Reservation forGeneration(
      LoadTable loads, UpstreamRecord upstream, MemoryNeed need, PlacementFacts facts) {
    return create(loads, upstream, need.expectedTokens(), need.promptTokens(), Optional.of(facts));
  }

  /** Reserves memory for a copy of a generation's memory, which needs no prefill. */
  static Reservation forMemoryCopy(LoadTable loads, UpstreamRecord upstream, MemoryNeed need) {
    return create(loads, upstream, need.expectedTokens(), 0, Optional.empty());
  }

  private static Reservation create(
      LoadTable loads,
      UpstreamRecord upstream,
      long tokens,
      long pendingPrefillTokens,
      Optional<PlacementFacts> facts) {
    Reservation reservation = new Reservation(loads, upstream, tokens, pendingPrefillTokens, facts);
    loads.add(upstream.id(), new UpstreamLoad(1, tokens, pendingPrefillTokens));
    return reservation;
  }

  /** Returns the upstream's load before this reservation. */
  UpstreamLoad loadBefore() {
    return loadBefore;
  }

  /** Returns what was known of the engine when it was chosen; empty for other reservations. */
  Optional<PlacementFacts> facts() {
    return facts;
  }

  /** Returns the tokens to prefill there until the first output, those ahead included. */
  long prefillTokens() {
    return pendingPrefillTokens == 0 ? 0 : loadBefore.pendingPrefillTokens() + pendingPrefillTokens;
  }

  UpstreamRecord upstream() {
    return upstream;
  }

  /** Records that the first output has arrived, so the prompt is prefilled. */
  void markPrefilled() {
    if (!released && pendingPrefillTokens > 0) {
      loads.add(upstream.id(), new UpstreamLoad(0, 0, -pendingPrefillTokens));
      pendingPrefillTokens = 0;
    }
  }

  /** Increases the reserved memory if the generation has outgrown it. */
  void growTo(long newTokens) {
    if (!released && newTokens > tokens) {
      loads.add(upstream.id(), new UpstreamLoad(0, newTokens - tokens, 0));
      tokens = newTokens;
    }
  }

  /** Releases the reservation; has no effect if called again. */
  void release() {
    if (!released) {
      released = true;
      loads.add(upstream.id(), new UpstreamLoad(-1, -tokens, -pendingPrefillTokens));
    }
  }
}
