package org.cuminrack.pool;

/**
 * A pool's free capacity in a few bytes, for the choice between pools.
 *
 * @param freePlaces requests that would be admitted at once
 * @param limit requests that its upstreams carry together
 * @param waitMillis predicted wait of a request that came now
 * @param availableUpstreams upstreams that may have new work
 */
public record PoolDigest(
    PoolKey pool, int freePlaces, int limit, int waitMillis, int availableUpstreams) {}
