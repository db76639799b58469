package org.cuminrack.admission;

import java.time.Duration;

/**
 * What the owner of a pool is told when a ticket is returned.
 *
 * @param result how the request ended
 * @param outputTokens tokens the upstream generated; 0 for a plain call
 * @param firstTokenAfter time from dispatch to the first token or byte; zero if there was none
 */
public record TicketOutcome(Result result, int outputTokens, Duration firstTokenAfter) {

  /** How the request of a ticket ended. */
  public enum Result {
    /** The complete response was received. */
    COMPLETED,
    /** The caller disconnected or its deadline expired; the request was cancelled. */
    CANCELLED,
    /** Never sent: the ticket expired or the caller disconnected first. */
    NOT_SENT,
    /** The upstream responded that it has no capacity. */
    OVERLOADED,
    /** The upstream refused the connection. */
    UNREACHABLE,
    /** The upstream died or lost the request while it was running. */
    LOST
  }
}
