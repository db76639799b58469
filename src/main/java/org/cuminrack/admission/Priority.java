package org.cuminrack.admission;

/** How urgent a generation is; engines honour it too. */
public enum Priority {
  /** Short questions somebody waits for. */
  INTERACTIVE,
  /** Long generations. */
  STANDARD
}
