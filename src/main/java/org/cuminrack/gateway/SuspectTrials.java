package org.cuminrack.gateway;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.Fingerprint;

/** Asks control whether a suspended request may run once more. */
public interface SuspectTrials {

  /**
   * Requests a trial of a request that is suspended for all the given suspects; the future always
   * completes normally.
   */
  CompletableFuture<Outcome> request(List<Fingerprint> suspects);

  /** Gives back a trial that was granted, but not run, so that another request may have it. */
  void giveBack(SuspectTrial trial);

  /** Control's answer. */
  sealed interface Outcome {}

  /**
   * The request may run once, at the gateway that asked.
   *
   * @param grantedMillis identifies the trial; see {@link SuspectTrial}
   */
  record Granted(long grantedMillis) implements Outcome {}

  /** No trial is due. */
  record Denied(Duration retryAfter) implements Outcome {}

  /** Control did not answer. */
  record Unavailable(String detail) implements Outcome {}
}
