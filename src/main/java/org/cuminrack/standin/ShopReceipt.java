package org.cuminrack.standin;

/**
 * The shop's answer to a call.
 *
 * @param key the call's idempotency key; empty where it had none
 * @param executions how often the shop has run a call with this key, this one included
 */
record ShopReceipt(String upstream, String path, String key, int executions) {}
