package org.cuminrack.ledger;

/** How a claimed call ended. */
public sealed interface CallResult {

  /** It ran, with this answer. */
  record Done(StoredAnswer answer) implements CallResult {}

  /** It is proved that no byte of it reached an upstream, or will: the key may be claimed anew. */
  record NotRun() implements CallResult {}

  /** Bytes may have reached an upstream and no answer came. */
  record Unknown() implements CallResult {}
}
