package org.cuminrack.ledger;

import java.time.Duration;

/** The result of a claim. */
public sealed interface ClaimVerdict {

  /** The caller holds the claim: the call may be sent once. */
  record Granted(long claimId) implements ClaimVerdict {}

  /** Another claim on the call is still open. */
  record InProgress(Duration retryAfter) implements ClaimVerdict {}

  /** The call ran and returned this response. */
  record Done(StoredResponse response) implements ClaimVerdict {}

  /** The outcome of the call cannot be determined; it is not sent again. */
  record Unknown() implements ClaimVerdict {}

  /** The key was used before for a different request. */
  record KeyReused() implements ClaimVerdict {}

  /** The ledger is unreachable or full, or the lease is not valid: the call is not sent. */
  record Unavailable(Duration retryAfter) implements ClaimVerdict {}
}
