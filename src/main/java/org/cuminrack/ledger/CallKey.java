package org.cuminrack.ledger;

/** Identifies a call that may not be repeated: the caller's own idempotency key. */
public record CallKey(String organisation, String route, String idempotencyKey) {}
