package org.cuminrack.pool;

import org.cuminrack.admission.Priority;

/** The state, besides the upstreams, that decisions depend on. */
final class PoolContext {
  /** Time after an interactive request for which headroom is reserved for further ones. */
  private static final long INTERACTIVE_HEADROOM_DURATION_NANOS = 30_000_000_000L;

  private static final int HEADROOM_DIVISOR = 8;
  private static final int MIN_LIMIT_WITH_HEADROOM = 4;
  private static final double MEMORY_SHARE_PER_HEADROOM_UNIT = 0.05;
  private static final int OVER_SHARE_HEADROOM_UNITS = 2;

  private final PolicyKind policy;
  private final LengthPredictor lengths = new LengthPredictor();
  private final PrefixIndex prefixes = new PrefixIndex();
  private final OrganisationUsage usage = new OrganisationUsage();
  private PoolRules rules = PoolRules.none();
  private long nowNanos;
  private long lastInteractiveNanos;
  private boolean hasSeenInteractive;

  PoolContext(PolicyKind policy) {
    this.policy = policy;
  }

  boolean uses(Mechanism mechanism) {
    return policy.uses(mechanism);
  }

  PolicyKind policy() {
    return policy;
  }

  LengthPredictor lengths() {
    return lengths;
  }

  PrefixIndex prefixes() {
    return prefixes;
  }

  PoolRules rules() {
    return rules;
  }

  void setRules(PoolRules rules) {
    this.rules = rules;
  }

  long nowNanos() {
    return nowNanos;
  }

  void setNowNanos(long nowNanos) {
    this.nowNanos = nowNanos;
  }

  void recordInteractiveRequest() {
    hasSeenInteractive = true;
    lastInteractiveNanos = nowNanos;
  }

  /**
   * Returns the distribution of output lengths of all standard requests, for inherited requests,
   * whose organisation and priority are unknown.
   */
  LengthHistogram standardLengths() {
    return lengths.distribution(new FlowKey("", Priority.STANDARD));
  }

  /** Returns the number of requests on an upstream at which this one is no longer admitted. */
  int limitFor(QueuedRequest request, UpstreamState upstream) {
    int limit = uses(Mechanism.RAMP) ? upstream.limit().value() : upstream.limit().warmLimit();
    int headroom = Math.max(1, limit / HEADROOM_DIVISOR) * headroomUnits(request);
    return limit < MIN_LIMIT_WITH_HEADROOM ? limit : limit - headroom;
  }

  /** Returns whether the upstream's concurrency limit allows this request, regardless of memory. */
  boolean hasPlace(QueuedRequest request, UpstreamState upstream) {
    return upstream.requestsInFlight() < limitFor(request, upstream);
  }

  /** Returns whether the request is predicted to fit into the memory of an upstream. */
  boolean fits(QueuedRequest request, UpstreamState upstream) {
    if (!uses(Mechanism.MEMORY_PREDICTION)) {
      return true;
    }
    double usableShare = 1 - MEMORY_SHARE_PER_HEADROOM_UNIT * headroomUnits(request);
    return upstream.memory().fits(request, usableShare, standardLengths(), nowNanos);
  }

  /** Returns the load of an upstream as a fraction; 1 means full. */
  double load(UpstreamState upstream, QueuedRequest request) {
    double occupancy =
        (double) upstream.requestsInFlight() / Math.max(1, limitFor(request, upstream));
    if (!uses(Mechanism.MEMORY_PREDICTION)) {
      return occupancy;
    }
    return Math.max(occupancy, upstream.memory().peakShare(standardLengths(), nowNanos));
  }

  OrganisationUsage usage() {
    return usage;
  }

  /**
   * Returns the units of headroom that a request must leave free on its upstream: one for a
   * standard request if there were interactive requests recently, and more if its organisation is
   * over its share. A unit is a fixed share of the upstream's concurrency limit, but at least one
   * place, and a fixed share of its usable memory.
   */
  int headroomUnits(QueuedRequest request) {
    int forInteractive = request.isStandard() && reservesInteractiveHeadroom() ? 1 : 0;
    return forInteractive + (isOverShare(request) ? OVER_SHARE_HEADROOM_UNITS : 0);
  }

  private boolean isOverShare(QueuedRequest request) {
    return uses(Mechanism.FAIR_QUEUEING)
        && usage.isOverShare(request.request().organisation(), rules);
  }

  private boolean reservesInteractiveHeadroom() {
    return uses(Mechanism.INTERACTIVE_ROOM)
        && hasSeenInteractive
        && nowNanos - lastInteractiveNanos < INTERACTIVE_HEADROOM_DURATION_NANOS;
  }
}
