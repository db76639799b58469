package org.cuminrack.pool;

/**
 * Identifies a pool: the upstreams to which one owner admits requests.
 *
 * @param service the service that its upstreams offer
 * @param dataCentre the data centre of its upstreams
 * @param shard shard number, starting at 0; a shard holds at most {@link PoolLimits#MAX_UPSTREAMS}
 *     upstreams
 */
public record PoolKey(String service, String dataCentre, int shard) {

  /** Returns the pool's name, such as {@code meal-planner/dc-a/0}. */
  public String name() {
    return service + "/" + dataCentre + "/" + shard;
  }

  /** Parses a name returned by {@link #name()}. */
  public static PoolKey parse(String name) {
    int second = name.lastIndexOf('/');
    int first = name.lastIndexOf('/', second - 1);
    if (first < 0) {
      throw new IllegalArgumentException("expected SERVICE/DATA_CENTRE/SHARD, found " + name);
    }
    int shard = Integer.parseInt(name.substring(second + 1));
    return new PoolKey(name.substring(0, first), name.substring(first + 1, second), shard);
  }
}
