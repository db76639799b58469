package org.cuminrack.ledger;

/** The result of a claimed call. */
public sealed interface CallResult {

  /** The call ran and returned this response. */
  record Done(StoredResponse response) implements CallResult {}

  /** No byte of the call reached or will reach an upstream: the key may be claimed again. */
  record NotRun() implements CallResult {}

  /** Bytes of the call may have reached an upstream, but no response was received. */
  record Unknown() implements CallResult {}
}
