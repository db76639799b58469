package org.cuminrack.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.cuminrack.admission.TicketOutcome;

/** The state that a pool's owner keeps for one boot of an upstream. */
final class UpstreamState {
  private static final long FAILURE_PAUSE_NANOS = 1_000_000_000L;
  private static final long OVERLOADED_PAUSE_NANOS = 200_000_000L;
  private static final double MAX_MEMORY_SHARE = 0.97;
  private static final double MIN_MEMORY_SHARE = 0.7;
  private static final double PREEMPTION_MEMORY_FACTOR = 0.97;
  private static final double MEMORY_SHARE_RECOVERY_PER_REPORT = 0.002;

  private final int slot;
  private final ConcurrencyLimit limit;
  private final Map<Long, RunningRequest> running = new HashMap<>();
  private InheritedWork inherited;
  private final TokenLatency latency = new TokenLatency();
  private final UpstreamMemory memory = new UpstreamMemory(this);
  private Announcement announcement;
  private Report lastReport;
  private long lastContactNanos;
  private long blockedUntilNanos;
  private boolean leaving;
  private boolean reserved;
  private double memoryShare = MAX_MEMORY_SHARE;

  /**
   * @param slot its index in the bit masks of the pool, below {@link PoolLimits#MAX_UPSTREAMS}
   * @param inherited requests that may run on it although their tickets will not be returned
   */
  UpstreamState(Announcement announcement, int slot, InheritedWork inherited, long nowNanos) {
    this.announcement = announcement;
    this.slot = slot;
    this.inherited = inherited;
    this.limit = new ConcurrencyLimit(announcement.coldLimit(), announcement.warmLimit());
    this.lastContactNanos = nowNanos;
    this.blockedUntilNanos = nowNanos;
  }

  String name() {
    return announcement.upstream();
  }

  int slot() {
    return slot;
  }

  Announcement announcement() {
    return announcement;
  }

  ConcurrencyLimit limit() {
    return limit;
  }

  TokenLatency latency() {
    return latency;
  }

  UpstreamMemory memory() {
    return memory;
  }

  Collection<RunningRequest> running() {
    return running.values();
  }

  int inheritedRequests() {
    return inherited.requests();
  }

  /** Returns the number of requests that may be running, including inherited ones. */
  int requestsInFlight() {
    return running.size() + inherited.requests();
  }

  long reportedUsedTokens() {
    return lastReport == null ? 0 : lastReport.usedTokens();
  }

  double usableMemoryTokens() {
    return announcement.memoryTokens() * memoryShare;
  }

  boolean hasMemoryLimit() {
    return announcement.memoryTokens() > 0;
  }

  void updateAnnouncement(Announcement updated, long nowNanos) {
    announcement = updated;
    lastContactNanos = nowNanos;
  }

  void reported(Report report, long nowNanos) {
    lastContactNanos = nowNanos;
    leaving |= report.leaving();
    adaptMemoryShare(report);
    inherited.reported(report, running.values(), nowNanos);
    lastReport = report;
  }

  boolean isExpired(long nowNanos) {
    return nowNanos - lastContactNanos > PoolLimits.REMOVE_AFTER.toNanos();
  }

  /** Returns whether it accepts new requests, regardless of its load. */
  boolean isAvailable(PoolRules rules, long nowNanos) {
    boolean silent = nowNanos - lastContactNanos > PoolLimits.SILENT_AFTER.toNanos();
    boolean blocked = nowNanos - blockedUntilNanos < 0;
    boolean excludedByRules = rules.drained() || rules.retired().contains(name());
    return !silent && !blocked && !leaving && !excludedByRules && !inherited.isCountUnknown();
  }

  /** Returns whether it is reserved for a suspect, which must run alone. */
  boolean isReserved() {
    return reserved;
  }

  void setReserved(boolean reserved) {
    this.reserved = reserved;
  }

  void admitted(RunningRequest request) {
    running.put(request.ticket().id(), request);
    memory.add(request.queued());
  }

  /** Moves a request whose ticket will not be returned to the inherited ones; it may still run. */
  void orphaned(RunningRequest request) {
    running.remove(request.ticket().id());
    inherited.add(1);
    memory.remove(request.queued());
  }

  /** Restores the state handed over by a former owner. */
  void restore(PoolHandOver.UpstreamPart part, InheritedWork inheritedWork) {
    limit.restore(part.limit());
    leaving |= part.leaving();
    inherited = inheritedWork;
    memory.invalidate();
  }

  boolean isLeaving() {
    return leaving;
  }

  /**
   * Records that the former owner has stopped; reports from the given time on include all its
   * requests.
   */
  void formerOwnerStopped(long completeReportsFromNanos) {
    inherited.formerOwnerStopped(completeReportsFromNanos);
  }

  boolean isInheritedCountUnknown() {
    return inherited.isCountUnknown();
  }

  /** Removes an admitted request and adapts limits and estimates to how it ended. */
  void finished(RunningRequest request, TicketOutcome outcome, long nowNanos) {
    int requestsInFlight = requestsInFlight();
    running.remove(request.ticket().id());
    memory.remove(request.queued());
    switch (outcome.result()) {
      case COMPLETED -> completed(request, outcome, requestsInFlight, nowNanos);
      case OVERLOADED -> overloaded(nowNanos);
      case UNREACHABLE, LOST -> failed(nowNanos);
      case CANCELLED, NOT_SENT -> {}
    }
  }

  private void completed(
      RunningRequest request, TicketOutcome outcome, int requestsInFlight, long nowNanos) {
    long firstTokenNanos = outcome.firstTokenAfter().toNanos();
    long afterFirstTokenNanos = request.ageNanos(nowNanos) - firstTokenNanos;
    long tokenIntervalNanos =
        outcome.outputTokens() > 1 ? afterFirstTokenNanos / (outcome.outputTokens() - 1) : 0;
    latency.completed(firstTokenNanos, tokenIntervalNanos);
    limit.completed(firstTokenNanos, tokenIntervalNanos, requestsInFlight);
  }

  private void overloaded(long nowNanos) {
    limit.overloaded();
    blockedUntilNanos = nowNanos + OVERLOADED_PAUSE_NANOS;
  }

  private void failed(long nowNanos) {
    limit.reset();
    blockedUntilNanos = nowNanos + FAILURE_PAUSE_NANOS;
  }

  private void adaptMemoryShare(Report report) {
    boolean preempted = lastReport != null && report.preemptions() > lastReport.preemptions();
    double share =
        preempted
            ? memoryShare * PREEMPTION_MEMORY_FACTOR
            : memoryShare + MEMORY_SHARE_RECOVERY_PER_REPORT;
    memoryShare = Math.max(MIN_MEMORY_SHARE, Math.min(MAX_MEMORY_SHARE, share));
  }
}
