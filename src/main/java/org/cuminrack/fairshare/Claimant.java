package org.cuminrack.fairshare;

/**
 * The requests that share one claim to a service: those of one organisation and priority.
 *
 * @param organisation empty for requests without one
 * @param priority 0 is the most urgent
 */
public record Claimant(String organisation, int priority) {}
