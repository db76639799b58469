package org.cuminrack.ledger;

/** Identifies a non-idempotent call by the idempotency key that the caller chose. */
public record CallKey(String organisation, String route, String idempotencyKey) {}
