package org.cuminrack.pool;

/**
 * The longest known prefix of a prompt.
 *
 * @param blocks its length in blocks; 0 where no upstream holds any of it
 * @param slots bits of the upstreams that hold it
 */
record PrefixMatch(int blocks, long slots) {}
