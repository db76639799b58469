package org.cuminrack.relay;

/** The reason why a request was not sent to an upstream. */
public enum NotSentReason {
  /** The connection was refused: no process listens on the address. */
  REFUSED,
  /** The connection timed out, or there is no route to the host. */
  NO_CONNECTION,
  /** The connection failed in another way before anything was sent, for example by a reset. */
  RESET,
  /** The listener did not permit sending, because the lease or ticket had expired. */
  NOT_PERMITTED
}
