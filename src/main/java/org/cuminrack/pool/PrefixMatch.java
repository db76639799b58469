package org.cuminrack.pool;

/**
 * The longest known prefix of a prompt.
 *
 * @param length its length, in hashes of the prompt's sample; 0 where no upstream holds any of it
 * @param slots bits of the upstreams that hold it
 */
record PrefixMatch(int length, long slots) {}
