package org.cuminrack.load;

/** How a request ended, as its caller sees it. */
public enum RequestEnd {
  /** It has not ended. */
  OPEN,
  /** The whole answer came. */
  WHOLE,
  /** It was refused before it ran. */
  REFUSED,
  /** No first token came before the caller left. */
  TIMED_OUT,
  /** It ran and was lost before its end. */
  LOST
}
