package org.cuminrack.load;

/** The outcome of a request, as its caller sees it. */
public enum RequestOutcome {
  /** The request has not ended yet. */
  OPEN,
  /** The complete response arrived. */
  COMPLETED,
  /** The request was refused before it ran. */
  REFUSED,
  /** The caller timed out before the first token. */
  TIMED_OUT,
  /** The response is missing or incomplete because of a failure. */
  LOST
}
