package org.cuminrack.member;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.Fingerprint;

/** Reports to every entry which requests were running on an upstream when it crashed. */
public interface CrashReports {
  /** Stands for the known crashes of a request whose next crash counts in any case. */
  int COUNT_ALWAYS = Integer.MAX_VALUE;

  /**
   * Counts one crash against each request and part of a prompt that was running on an upstream; a
   * repeated report with the same upstream and boot id is not counted again. A crash is not counted
   * against a request if more crashes are counted than were known when the request was sent: then
   * one event may have ended several upstreams that ran requests of equal content.
   *
   * @param running the requests and parts of prompts
   * @return true once the report is durable and in force at every entry with a lease, false if that
   *     isn't confirmed before the timeout
   */
  CompletableFuture<Boolean> reportCrash(
      String upstream, String bootId, Map<Fingerprint, CrashEvidence> running, Duration timeout);

  /** Clears the suspicion of a request that ran to completion without a crash. */
  void clear(Fingerprint fingerprint);
}
