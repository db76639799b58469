package org.cuminrack.pool;

/**
 * The longest known prefix of a prompt.
 *
 * @param length number of sampled hashes in the prefix; 0 if no upstream holds any
 * @param slots bit mask of the upstreams that hold the prefix
 */
record PrefixMatch(int length, long slots) {}
