package org.cuminrack.fairshare;

/**
 * What the requests of one organisation and priority hold of a service, and what they wait for.
 *
 * @param service the service
 * @param organisation the organisation; empty for requests without one
 * @param priority 0 is the most urgent
 * @param heldUnits capacity in use: tokens of engine memory for generations, slots for plain
 *     requests
 * @param waitingUnits capacity that queued requests wait for, in the same unit
 * @param waitingRequests the number of queued requests
 */
public record OrganisationDemand(
    String service,
    String organisation,
    int priority,
    long heldUnits,
    long waitingUnits,
    int waitingRequests) {}
