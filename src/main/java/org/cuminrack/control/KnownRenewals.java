package org.cuminrack.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The renewals of leases that this voter has been told of. It may have missed some of before its
 * process started, of before the voters changed, and of a term whose leader it has not heard from,
 * for example since that one shares no renewals; so it counts as complete only once a lease has
 * passed since then. Times are nanoseconds of this VM's monotonic clock. Thread-safe.
 */
final class KnownRenewals {
  /** How many leases after its last renewal a session is forgotten. */
  private static final int RETENTION_LEASES = 5;

  private final Duration expiry;
  private final Map<Long, Long> lastRenewalNanos = new HashMap<>();
  private Set<String> voters = Set.of();
  private long completeFromNanos;
  private long highestTerm;

  KnownRenewals(LeaseSettings settings, long nowNanos) {
    this.expiry = settings.expiryAtControl();
    this.completeFromNanos = nowNanos + expiry.toNanos();
  }

  /** Starts anew to wait for the length of a lease if the voters have changed. */
  synchronized void observeVoters(Set<String> current, long nowNanos) {
    if (!current.equals(voters)) {
      voters = Set.copyOf(current);
      mayHaveMissedRenewals(nowNanos);
    }
  }

  private void mayHaveMissedRenewals(long nowNanos) {
    completeFromNanos = nowNanos + expiry.toNanos();
  }

  private void observeTerm(long term, long nowNanos) {
    if (term - highestTerm > 1) {
      mayHaveMissedRenewals(nowNanos);
    }
    highestTerm = term;
  }

  /**
   * Records renewals; returns false, and records nothing, if a later term's leader has asked for
   * what is known.
   */
  synchronized boolean record(long term, Map<Long, Duration> ageBySession, long nowNanos) {
    if (term < highestTerm) {
      return false;
    }
    observeTerm(term, nowNanos);
    ageBySession.forEach(
        (session, age) -> lastRenewalNanos.merge(session, nowNanos - age.toNanos(), Math::max));
    long retentionNanos = expiry.multipliedBy(RETENTION_LEASES).toNanos();
    lastRenewalNanos.values().removeIf(renewed -> nowNanos - renewed > retentionNanos);
    return true;
  }

  /**
   * Returns the time since the last renewal of each session for the leader of a term, and records
   * nothing of earlier terms from then on; empty if this voter may have missed renewals, or has
   * answered the leader of a later term.
   */
  synchronized Optional<Map<Long, Duration>> ages(long term, long nowNanos) {
    if (term < highestTerm) {
      return Optional.empty();
    }
    observeTerm(term, nowNanos);
    if (nowNanos - completeFromNanos < 0) {
      return Optional.empty();
    }
    Map<Long, Duration> ages = new HashMap<>();
    lastRenewalNanos.forEach(
        (session, renewed) -> ages.put(session, Duration.ofNanos(nowNanos - renewed)));
    return Optional.of(ages);
  }
}
