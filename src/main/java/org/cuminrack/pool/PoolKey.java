package org.cuminrack.pool;

/**
 * Identifies a pool: the upstreams that one owner admits work to.
 *
 * @param service the service that its upstreams offer
 * @param dataCentre where they are
 * @param shard counts from 0; a shard holds at most {@link PoolLimits#MAX_UPSTREAMS} upstreams
 */
public record PoolKey(String service, String dataCentre, int shard) {

  /** Returns the pool's name, as {@code meal-planner/dc-a/0}. */
  public String name() {
    return service + "/" + dataCentre + "/" + shard;
  }
}
