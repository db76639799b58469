package org.cuminrack.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminrack.generated.control.MemberData;

/**
 * The entries' leases as tracked by the leader of one term. Not replicated: a new leader starts
 * with an empty table, grants every session a full lease from then on until it knows when the
 * sessions last renewed, and treats a revision as acknowledged only after an entry has reported it
 * to this leader. Times are nanoseconds of the leader's monotonic clock. Thread-safe.
 */
final class LeaseTable {
  private final long expiryNanos;
  private final Map<Long, Lease> leases = new HashMap<>();

  LeaseTable(LeaseSettings settings) {
    this.expiryNanos = settings.expiryAtControl().toNanos();
  }

  /** Renews a lease at its arrival time and records the acknowledged revision. */
  synchronized Renewal renew(long sessionId, long acknowledgedRevision, long nowNanos) {
    Lease lease = getOrCreate(sessionId, nowNanos);
    if (lease.expiring) {
      return Renewal.REFUSED;
    }
    lease.renew(nowNanos);
    if (acknowledgedRevision <= lease.acknowledgedRevision) {
      return Renewal.SAME_REVISION;
    }
    lease.acknowledgedRevision = acknowledgedRevision;
    return Renewal.NEW_REVISION;
  }

  /**
   * Renews every lease; called after a suspension of the leader, which may have missed renewals.
   */
  synchronized void extendAll(long nowNanos) {
    leases.values().forEach(lease -> lease.renew(nowNanos));
  }

  /**
   * Shortens the leases of sessions that have not renewed with this leader.
   *
   * @param lastRenewalNanos when each session last renewed with an earlier leader, or later
   * @param earliestNanos no lease counts from before this time
   */
  synchronized void shorten(Map<Long, Long> lastRenewalNanos, long earliestNanos, long nowNanos) {
    lastRenewalNanos.forEach(
        (sessionId, renewedNanos) -> {
          Lease lease = getOrCreate(sessionId, nowNanos);
          if (!lease.renewedHere) {
            long startNanos = Math.max(renewedNanos, earliestNanos);
            lease.renewedNanos = Math.min(lease.renewedNanos, startNanos);
          }
        });
  }

  /**
   * Returns the sessions whose lease has expired at the entry too, and rejects their renewal from
   * now on. A session is returned on every call until it has ended.
   */
  synchronized List<Long> markExpired(Collection<MemberData> open, long nowNanos) {
    List<Long> expired = new ArrayList<>();
    for (MemberData session : open) {
      Lease lease = getOrCreate(session.getSessionId(), nowNanos);
      lease.expiring |= nowNanos - lease.renewedNanos > expiryNanos;
      if (lease.expiring) {
        expired.add(session.getSessionId());
      }
    }
    return expired;
  }

  /** Removes the leases of sessions that are no longer open. */
  synchronized void retainOnly(Collection<Long> open) {
    leases.keySet().retainAll(open);
  }

  /**
   * Returns the latest revision that a session has acknowledged to this leader. A session
   * dispatches no work before it has applied the revision that opened it, so that revision is the
   * minimum.
   */
  synchronized long acknowledgedRevision(MemberData session) {
    Lease lease = leases.get(session.getSessionId());
    long reported = lease == null ? 0 : lease.acknowledgedRevision;
    return Math.max(reported, session.getSessionId());
  }

  /**
   * Returns the remaining time of a session's lease in nanoseconds; negative once it has expired.
   */
  synchronized long remainingNanos(long sessionId, long nowNanos) {
    return expiryNanos - (nowNanos - getOrCreate(sessionId, nowNanos).renewedNanos);
  }

  /**
   * Returns the newest revision that every open session has acknowledged.
   *
   * @param revision the state's revision, read before the sessions: a session opened in between can
   *     only lower the result
   */
  long inForceRevision(long revision, Collection<MemberData> open) {
    return open.stream().mapToLong(this::acknowledgedRevision).reduce(revision, Math::min);
  }

  // The table is created after this VM became leader, and a session is first seen after its entry
  // requested it, so the lease never starts earlier here than at the entry.
  private Lease getOrCreate(long sessionId, long nowNanos) {
    return leases.computeIfAbsent(sessionId, id -> new Lease(nowNanos));
  }

  /** The outcome of a renewal. */
  enum Renewal {
    /** The session is being expired and can no longer be renewed. */
    REFUSED,
    SAME_REVISION,
    /** The entry acknowledged a newer revision than before. */
    NEW_REVISION
  }

  private static final class Lease {
    private long renewedNanos;
    private long acknowledgedRevision;
    private boolean renewedHere;
    private boolean expiring;

    Lease(long renewedNanos) {
      this.renewedNanos = renewedNanos;
    }

    void renew(long nowNanos) {
      renewedNanos = nowNanos;
      renewedHere = true;
    }
  }
}
