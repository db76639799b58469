package org.cuminrack.quorum.internal;

/** Faults injected into simulated replicas, to check that the exploration detects them. */
enum Mutation {
  NONE,
  /** A VM whose disk was wiped returns with its old incarnation and votes again. */
  WIPED_VM_VOTES_AGAIN,
  /** Entries are acknowledged before they are synced. */
  ACKNOWLEDGES_BEFORE_SYNC,
  /** Votes are sent before they are synced. */
  VOTES_BEFORE_SYNC,
  /** A vote that the disk refused counts as synced. */
  TRUSTS_A_REPEATED_SYNC,
  /** A reply confirms leadership for reads that were requested after its message was sent. */
  CONFIRMS_BY_OLD_MESSAGES
}
