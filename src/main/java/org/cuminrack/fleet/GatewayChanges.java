package org.cuminrack.fleet;

import java.util.List;

/**
 * What a gateway has to be told of gateways.
 *
 * @param changed gateways that are new or whose record changed
 * @param removed names of VMs whose gateways are gone
 * @param change the number of the last change
 * @param whole whether the changed ones are all live gateways
 */
record GatewayChanges(
    List<GatewayRecord> changed, List<String> removed, long change, boolean whole) {

  GatewayChanges {
    changed = List.copyOf(changed);
    removed = List.copyOf(removed);
  }
}
