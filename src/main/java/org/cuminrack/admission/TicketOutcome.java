package org.cuminrack.admission;

import java.time.Duration;

/**
 * How the work under a ticket ended.
 *
 * @param result what became of it
 * @param outputTokens tokens the upstream generated; 0 for a plain call
 * @param firstTokenAfter from dispatch to the first token or byte; zero where none came
 */
public record TicketOutcome(Result result, int outputTokens, Duration firstTokenAfter) {

  /** What became of the work under a ticket. */
  public enum Result {
    /** The whole answer came. */
    COMPLETED,
    /** The caller left or its time ran out; the work was cancelled. */
    CANCELLED,
    /** Never sent: the ticket ran out, or the caller left first. */
    NOT_SENT,
    /** The upstream answered that it has no room. */
    OVERLOADED,
    /** The upstream refused the connection: it is not there. */
    UNREACHABLE,
    /** The upstream died, or lost the request, while it ran. */
    LOST
  }
}
