/**
 * The data path of an entry: relays generations and plain calls between callers and upstreams.
 *
 * <p>Each caller's exchange lives on the I/O thread that accepted it, and its upstream connections
 * are opened on the same thread. Nothing of one exchange is therefore touched by two threads; what
 * exchanges share is in concurrent tables without nested locks.
 */
package org.cuminrack.relay;
