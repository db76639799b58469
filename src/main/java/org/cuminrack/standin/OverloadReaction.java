package org.cuminrack.standin;

/** How an engine that is not warm reacts to more requests than it can handle. */
public enum OverloadReaction {
  /** Its process crashes immediately. */
  CRASH,
  /** It runs no further steps. */
  STALL,
  /** It only slows down. */
  NONE
}
