/**
 * Calls between cuminrack's own processes: one connection a pair, heartbeats, every call with a
 * timeout.
 */
package org.cuminrack.wire;
