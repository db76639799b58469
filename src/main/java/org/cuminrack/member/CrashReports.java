package org.cuminrack.member;

import java.time.Duration;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.Fingerprint;

/** Tells every entry which requests were running where an upstream died. */
public interface CrashReports {

  /**
   * Counts one crash against each request that ran on a life of an upstream; a second report of the
   * same upstream and boot id for the same request counts nothing.
   *
   * @return true once that is durable and known to every entry with a lease, false if it can't be
   *     said in time
   */
  CompletableFuture<Boolean> reportCrash(
      String upstream, String bootId, Collection<Fingerprint> running, Duration timeout);

  /** Takes the suspicion off a request that ran to its end alone. */
  void clear(Fingerprint fingerprint);
}
