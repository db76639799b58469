package org.cuminrack.admission;

/**
 * The right to send one request to one upstream.
 *
 * @param id unique per owner and epoch
 * @param pool the pool that the upstream is in
 * @param epoch the member epoch under which the owner admitted it
 * @param upstream the upstream's name
 * @param bootId the life of the upstream that the ticket is for
 * @param address host and port of the upstream
 * @param dispatchByNanos on this process's monotonic clock, when the right to send ends
 * @param alone true where no other request runs on the upstream, and none may join: a suspect
 */
public record Ticket(
    long id,
    String pool,
    long epoch,
    String upstream,
    String bootId,
    String address,
    long dispatchByNanos,
    boolean alone) {}
