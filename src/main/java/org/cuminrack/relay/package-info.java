/**
 * The data path of an entry: relays generations and plain calls between callers and upstreams.
 *
 * <p>Each caller's exchange is confined to the I/O thread that accepted it, and its upstream
 * connections are opened on the same thread. The state of an exchange is therefore never accessed
 * by two threads. State shared between exchanges is kept in concurrent maps without nested locks.
 */
package org.cuminrack.relay;
