package org.cuminrack.load;

/** The outcome of a request, as its caller sees it. */
public enum RequestOutcome {
  /** It has not ended yet. */
  OPEN,
  /** The complete response arrived. */
  WHOLE,
  /** It was refused before it ran. */
  REFUSED,
  /** The caller timed out before the first token. */
  TIMED_OUT,
  /** It ran, but was lost before it completed. */
  LOST
}
