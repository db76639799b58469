package org.cuminrack.quorum.internal;

/** What a replica does at the moment. */
public enum Role {
  /** Has no log yet, and no vote. */
  BLANK,
  FOLLOWER,
  /** Asks whether it could win an election. */
  PRE_CANDIDATE,
  CANDIDATE,
  LEADER
}
