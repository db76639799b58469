package org.cuminrack.ledger;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.Fingerprint;

/** Remembers, through every crash, which calls that may not be repeated were sent. */
public interface Ledger {

  /**
   * Claims a call before its first byte is sent. The future always completes normally.
   *
   * @param fingerprint tells whether a later use of the key is the same request
   * @param timeout how long the caller waits; a claim that may still be committed after it answers
   *     {@link ClaimVerdict.Unavailable} and is given back by the ledger's client
   */
  CompletableFuture<ClaimVerdict> claim(CallKey key, Fingerprint fingerprint, Duration timeout);

  /**
   * Records how a claimed call ended. The future completes with true once that is durable, with
   * false where it can't be said; the claim then ends as unknown when its holder's lease runs out.
   */
  CompletableFuture<Boolean> finish(CallKey key, long claimId, CallResult result);
}
