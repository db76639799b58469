package org.cuminrack.directory;

import java.util.OptionalDouble;
import org.cuminrack.fleet.GatewayRecord;

/**
 * How much a gateway can take.
 *
 * @param capacity its size, relative to the median gateway
 * @param use the used fraction of it, from 0 to 1; empty if unknown
 */
record GatewayRoom(GatewayRecord gateway, double capacity, OptionalDouble use) {

  String dataCentre() {
    return gateway.dataCentre();
  }
}
