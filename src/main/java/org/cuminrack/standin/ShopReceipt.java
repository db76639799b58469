package org.cuminrack.standin;

/**
 * The shop's response to a call.
 *
 * @param key the call's idempotency key; empty if it had none
 * @param executions number of executions with this key, including this one
 */
record ShopReceipt(String upstream, String path, String key, int executions) {}
