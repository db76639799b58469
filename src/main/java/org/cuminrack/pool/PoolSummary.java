package org.cuminrack.pool;

/**
 * A summary of a pool's capacity and predicted wait, used to choose between pools.
 *
 * @param freePlaces number of requests that would be admitted at once
 * @param limit sum of the concurrency limits of its available upstreams
 * @param waitMillis predicted wait of a request that arrives now
 * @param availableUpstreams number of upstreams that accept new requests and are not reserved for a
 *     suspect
 */
public record PoolSummary(
    PoolKey pool, int freePlaces, int limit, int waitMillis, int availableUpstreams) {}
