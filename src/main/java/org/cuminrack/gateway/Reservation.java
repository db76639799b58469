package org.cuminrack.gateway;

import org.cuminrack.fleet.UpstreamRecord;

/** A place on an upstream, counted until it is released. Used on one thread at a time. */
final class Reservation {
  private final LoadTable loads;
  private final UpstreamRecord upstream;
  private long tokens;
  private boolean released;

  private Reservation(LoadTable loads, UpstreamRecord upstream, long tokens) {
    this.loads = loads;
    this.upstream = upstream;
    this.tokens = tokens;
  }

  static Reservation take(LoadTable loads, UpstreamRecord upstream, long tokens) {
    loads.add(upstream.id(), 1, tokens);
    return new Reservation(loads, upstream, tokens);
  }

  UpstreamRecord upstream() {
    return upstream;
  }

  /** Counts more memory where the generation has outgrown what it was given. */
  void growTo(long newTokens) {
    if (!released && newTokens > tokens) {
      loads.add(upstream.id(), 0, newTokens - tokens);
      tokens = newTokens;
    }
  }

  /** Gives the place back; again does nothing. */
  void release() {
    if (!released) {
      released = true;
      loads.add(upstream.id(), -1, -tokens);
    }
  }
}
