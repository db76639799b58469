package org.cuminrack.quorum.internal;

/** The role of a replica. */
public enum Role {
  /** Has no log and no vote yet. */
  BLANK,
  FOLLOWER,
  /** Requests pre-votes to find out whether it could win an election. */
  PRE_CANDIDATE,
  CANDIDATE,
  LEADER
}
