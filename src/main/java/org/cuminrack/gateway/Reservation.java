package org.cuminrack.gateway;

import org.cuminrack.fleet.UpstreamRecord;

/** A place on an upstream, counted until it is released. Used on one thread at a time. */
final class Reservation {
  private final LoadTable loads;
  private final UpstreamRecord upstream;
  private final UpstreamLoad loadBefore;
  private long tokens;
  private long unreadPromptTokens;
  private boolean released;

  private Reservation(
      LoadTable loads, UpstreamRecord upstream, long tokens, long unreadPromptTokens) {
    this.loads = loads;
    this.upstream = upstream;
    this.loadBefore = loads.total(upstream.id());
    this.tokens = tokens;
    this.unreadPromptTokens = unreadPromptTokens;
  }

  /** Takes a place for a plain request. */
  static Reservation plain(LoadTable loads, UpstreamRecord upstream) {
    return take(loads, upstream, 0, 0);
  }

  /** Takes memory for a generation whose prompt is still to be read. */
  static Reservation generation(LoadTable loads, UpstreamRecord upstream, MemoryNeed need) {
    return take(loads, upstream, need.expectedTokens(), need.promptTokens());
  }

  /** Takes memory for the copy of a generation. */
  static Reservation copy(LoadTable loads, UpstreamRecord upstream, MemoryNeed need) {
    return take(loads, upstream, need.expectedTokens(), 0);
  }

  private static Reservation take(
      LoadTable loads, UpstreamRecord upstream, long tokens, long unreadPromptTokens) {
    Reservation taken = new Reservation(loads, upstream, tokens, unreadPromptTokens);
    loads.add(upstream.id(), new UpstreamLoad(1, tokens, unreadPromptTokens));
    return taken;
  }

  /** Returns what ran on the upstream when this place was taken. */
  UpstreamLoad loadBefore() {
    return loadBefore;
  }

  UpstreamRecord upstream() {
    return upstream;
  }

  /** Notes that the first output has come. */
  void promptRead() {
    if (!released && unreadPromptTokens > 0) {
      loads.add(upstream.id(), new UpstreamLoad(0, 0, -unreadPromptTokens));
      unreadPromptTokens = 0;
    }
  }

  /** Counts more memory where the generation has outgrown what it was given. */
  void growTo(long newTokens) {
    if (!released && newTokens > tokens) {
      loads.add(upstream.id(), new UpstreamLoad(0, newTokens - tokens, 0));
      tokens = newTokens;
    }
  }

  /** Gives the place back; again does nothing. */
  void release() {
    if (!released) {
      released = true;
      loads.add(upstream.id(), new UpstreamLoad(-1, -tokens, -unreadPromptTokens));
    }
  }
}
