package org.cuminrack.member;

import java.time.Duration;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.Fingerprint;

/** Reports to every entry which requests were running on an upstream when it crashed. */
public interface CrashReports {

  /**
   * Counts one crash against each request that was running on an upstream; a repeated report with
   * the same upstream and boot id is not counted again.
   *
   * @return true once the report is durable and in force at every entry with a lease, false if that
   *     isn't confirmed before the timeout
   */
  CompletableFuture<Boolean> reportCrash(
      String upstream, String bootId, Collection<Fingerprint> running, Duration timeout);

  /** Clears the suspicion of a request that completed in isolation. */
  void clear(Fingerprint fingerprint);
}
