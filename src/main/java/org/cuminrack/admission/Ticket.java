package org.cuminrack.admission;

/**
 * Permission to send one request to one upstream.
 *
 * @param id unique per owner and epoch
 * @param pool the upstream's pool
 * @param epoch the membership epoch under which the owner admitted the request
 * @param upstream the upstream's name
 * @param bootId the boot of the upstream that the ticket is valid for
 * @param address host and port of the upstream
 * @param dispatchByNanos expiry of the permission to send, on this process's monotonic clock
 * @param exclusive true if the request is a suspect, which must run on the upstream without other
 *     requests
 */
public record Ticket(
    long id,
    String pool,
    long epoch,
    String upstream,
    String bootId,
    String address,
    long dispatchByNanos,
    boolean exclusive) {}
