/**
 * Calls between cuminrack processes over one connection per pair, with heartbeats and a timeout for
 * every call.
 */
package org.cuminrack.wire;
