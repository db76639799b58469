package org.cuminrack.ledger;

/**
 * Identifies a call that must run at most once by the idempotency key that the caller chose, unique
 * within an organisation and a route.
 */
public record CallKey(String organisation, String route, String idempotencyKey) {}
