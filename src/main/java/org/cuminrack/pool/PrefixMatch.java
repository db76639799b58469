package org.cuminrack.pool;

/**
 * The longest prefix of a prompt that an upstream may cache.
 *
 * @param length number of sampled hashes in the prefix; 0 if no upstream caches any
 * @param slots bit mask of the upstreams that may cache the prefix
 */
record PrefixMatch(int length, long slots) {}
