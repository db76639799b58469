package org.cuminrack.admission;

/** The scheduling priority of a generation; engines honour it too. */
public enum Priority {
  /** Short generations that a user waits for. */
  INTERACTIVE,
  /** Long generations. */
  STANDARD
}
