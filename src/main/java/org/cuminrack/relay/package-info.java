/**
 * The data path of an entry: relays generations and plain calls between callers and upstreams.
 *
 * <p>An upstream is a server of a service. An upstream that runs generations is called an engine;
 * it streams their tokens. A plain call is any other HTTP request; its response is relayed only
 * when it is complete. Depending on its route and method, a plain call is idempotent or runs at
 * most once.
 *
 * <p>Each caller's exchange is confined to the I/O thread that accepted it, and its upstream
 * connections are opened on the same thread. The state of an exchange is therefore never accessed
 * by two threads. State shared between exchanges is kept in concurrent maps without nested locks.
 */
package org.cuminrack.relay;
