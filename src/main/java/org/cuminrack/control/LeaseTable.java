package org.cuminrack.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminrack.generated.control.MemberData;

/**
 * What the leader knows of the entries' leases in one term. Not replicated: a new leader starts
 * with an empty table, gives every session a whole lease from then on, and takes no revision for
 * acknowledged before it has heard so itself. Times are nanoseconds of the leader's monotonic
 * clock. Safe for use by many threads.
 */
final class LeaseTable {
  private final long overAfterNanos;
  private final Map<Long, Lease> leases = new HashMap<>();

  LeaseTable(LeaseSettings settings) {
    this.overAfterNanos = settings.overForControl().toNanos();
  }

  /** Takes a renewal that arrived now. */
  synchronized Renewal renew(long sessionId, long acknowledgedRevision, long nowNanos) {
    Lease lease = lease(sessionId, nowNanos);
    if (lease.expiring) {
      return Renewal.REFUSED;
    }
    lease.renewedNanos = nowNanos;
    if (acknowledgedRevision <= lease.acknowledgedRevision) {
      return Renewal.SAME_REVISION;
    }
    lease.acknowledgedRevision = acknowledgedRevision;
    return Renewal.NEW_REVISION;
  }

  /** Gives every lease its whole length anew; for a leader that was suspended itself. */
  synchronized void extendAll(long nowNanos) {
    leases.values().forEach(each -> each.renewedNanos = nowNanos);
  }

  /**
   * Returns the sessions whose lease is surely over, and refuses to renew them from now on. A
   * session is returned each time until it has ended.
   */
  synchronized List<Long> takeExpired(Collection<MemberData> open, long nowNanos) {
    List<Long> expired = new ArrayList<>();
    for (MemberData each : open) {
      Lease lease = lease(each.getSessionId(), nowNanos);
      lease.expiring |= nowNanos - lease.renewedNanos > overAfterNanos;
      if (lease.expiring) {
        expired.add(each.getSessionId());
      }
    }
    return expired;
  }

  /** Forgets sessions that are no longer open. */
  synchronized void retain(Collection<Long> open) {
    leases.keySet().retainAll(open);
  }

  /**
   * Returns the revision that a session has put in force, as far as this leader knows. A session
   * gives no work before it has put the revision that opened it in force, so it counts from there.
   */
  synchronized long acknowledged(MemberData session) {
    Lease lease = leases.get(session.getSessionId());
    long heard = lease == null ? 0 : lease.acknowledgedRevision;
    return Math.max(heard, session.getSessionId());
  }

  /** Returns how much of a session's lease is left, in nanoseconds; negative once it is over. */
  synchronized long leftNanos(long sessionId, long nowNanos) {
    return overAfterNanos - (nowNanos - lease(sessionId, nowNanos).renewedNanos);
  }

  /**
   * Returns the newest revision that every open session has put in force.
   *
   * @param revision the state's revision, read before the sessions: a session opened in between
   *     only holds the answer back
   */
  long inForceRevision(long revision, Collection<MemberData> open) {
    return open.stream().mapToLong(this::acknowledged).reduce(revision, Math::min);
  }

  // The table is made after this VM began to lead, and a session is first seen after its entry
  // asked for it: the lease starts no earlier here than at the entry.
  private Lease lease(long sessionId, long nowNanos) {
    return leases.computeIfAbsent(sessionId, id -> new Lease(nowNanos));
  }

  /** What a renewal brought. */
  enum Renewal {
    /** The session is being expired and can't be renewed any more. */
    REFUSED,
    SAME_REVISION,
    /** The entry has put a newer revision in force than it had said before. */
    NEW_REVISION
  }

  private static final class Lease {
    private long renewedNanos;
    private long acknowledgedRevision;
    private boolean expiring;

    Lease(long renewedNanos) {
      this.renewedNanos = renewedNanos;
    }
  }
}
