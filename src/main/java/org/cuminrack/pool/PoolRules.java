package org.cuminrack.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.config.Organisation;
import org.cuminrack.config.Upstream;
import org.cuminrack.config.VersionedObject;
import org.cuminrack.member.ClusterView;

/**
 * The rules that the configuration and the cluster impose on a pool.
 *
 * @param drained true while the pool's data centre accepts no new requests
 * @param retired upstreams that accept no new requests
 * @param weights weights of organisations; the default is 1
 * @param suspects number of upstream crashes during a request, by its hex fingerprint
 */
public record PoolRules(
    boolean drained,
    Set<String> retired,
    Map<String, Integer> weights,
    Map<String, Integer> suspects) {

  /** Returns rules without restrictions. */
  public static PoolRules none() {
    return new PoolRules(false, Set.of(), Map.of(), Map.of());
  }

  /** Returns the rules of a pool under a view. */
  public static PoolRules of(ClusterView view, PoolKey pool) {
    Set<String> retired = new HashSet<>();
    Map<String, Integer> weights = new HashMap<>();
    for (VersionedObject each : view.configuration().objects()) {
      collect(each.object(), retired, weights);
    }
    boolean drained = view.configuration().isDrained(pool.dataCentre());
    return new PoolRules(drained, retired, weights, view.suspects());
  }

  int weightOf(String organisation) {
    return Math.max(1, weights.getOrDefault(organisation, 1));
  }

  int crashesOf(String fingerprintHex) {
    return suspects.getOrDefault(fingerprintHex, 0);
  }

  private static void collect(
      ConfigObject object, Set<String> retired, Map<String, Integer> weights) {
    if (object instanceof Upstream upstream && upstream.retired()) {
      retired.add(upstream.name());
    }
    if (object instanceof Organisation organisation) {
      weights.put(organisation.name(), organisation.weight());
    }
  }
}
