package org.cuminrack.quorum.internal;

/** Faults put into a simulated replica on purpose, to see that the exploration finds them. */
enum Mutation {
  NONE,
  /** A VM whose disk was wiped comes back as its old self, with a vote. */
  WIPED_VM_VOTES_AGAIN,
  /** Entries are acknowledged before they are synced. */
  ACKNOWLEDGES_BEFORE_SYNC,
  /** Votes are given before they are synced. */
  VOTES_BEFORE_SYNC,
  /** An answer confirms leadership for reads that its message knew nothing of. */
  CONFIRMS_BY_OLD_MESSAGES
}
