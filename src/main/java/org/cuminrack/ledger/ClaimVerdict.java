package org.cuminrack.ledger;

import java.time.Duration;

/** The answer to a claim. */
public sealed interface ClaimVerdict {

  /** The claim is this caller's: the call may be sent once. */
  record Granted(long claimId) implements ClaimVerdict {}

  /** Another claim holds the call and has not ended yet. */
  record InProgress(Duration retryAfter) implements ClaimVerdict {}

  /** The call ran; this was its answer. */
  record Done(StoredAnswer answer) implements ClaimVerdict {}

  /** The call may or may not have run; nobody can tell, and it will not be sent again. */
  record Unknown() implements ClaimVerdict {}

  /** The key was used before with another request. */
  record KeyReused() implements ClaimVerdict {}

  /** The ledger can't be reached or has no room: nothing was claimed that will be sent. */
  record Unavailable(Duration retryAfter) implements ClaimVerdict {}
}
