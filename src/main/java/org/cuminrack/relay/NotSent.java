package org.cuminrack.relay;

/** Why nothing was sent to an upstream. */
public enum NotSent {
  /** The connection was refused: no process listens there. */
  REFUSED,
  /** No connection came about in time, or the way there is closed. */
  NO_CONNECTION,
  /** The connection was reset before anything was sent. */
  RESET,
  /** The right to send had ended. */
  VETOED
}
