package org.cuminrack.ledger;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.Fingerprint;

/**
 * Records durably which non-idempotent calls were sent, so that each runs at most once. A claim is
 * the right to send a call once; it is open until the call's result is recorded or the session of
 * its holder ends.
 */
public interface Ledger {

  /**
   * Claims a call before its first byte is sent. The future always completes normally.
   *
   * @param fingerprint identifies the request, to detect reuse of the key for a different one
   * @param timeout the maximum wait; if the claim may still be committed after it, the result is
   *     {@link ClaimVerdict.Unavailable} and the ledger's client releases the claim
   */
  CompletableFuture<ClaimVerdict> claim(CallKey key, Fingerprint fingerprint, Duration timeout);

  /**
   * Records the result of a claimed call. The future completes with true once the result is
   * durable, and with false if that cannot be confirmed; unless the result is recorded later, the
   * claim then ends as unknown when the session of its holder ends.
   */
  CompletableFuture<Boolean> finish(CallKey key, long claimId, CallResult result);
}
