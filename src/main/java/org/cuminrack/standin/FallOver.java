package org.cuminrack.standin;

/** What a cold engine does when it is given more than it can carry. */
public enum FallOver {
  /** Its process ends at once. */
  CRASH,
  /** It makes no step any more. */
  STALL,
  /** It only gets slow. */
  NONE
}
