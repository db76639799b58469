package org.cuminrack.pool;

/**
 * A summary of a pool's free capacity, used to choose between pools.
 *
 * @param freePlaces number of requests that would be admitted at once
 * @param limit sum of the concurrency limits of its available upstreams
 * @param waitMillis predicted wait of a request that arrives now
 * @param availableUpstreams number of upstreams that accept new requests
 */
public record PoolSummary(
    PoolKey pool, int freePlaces, int limit, int waitMillis, int availableUpstreams) {}
