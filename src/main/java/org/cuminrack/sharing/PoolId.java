package org.cuminrack.sharing;

/**
 * A pool of upstreams of one service.
 *
 * @param index the number of the pool in its service, from 0
 */
record PoolId(String service, int index) {
  boolean isFirst() {
    return index == 0;
  }

  /** Returns a name for logs and tables. */
  String label() {
    return service + "/" + index;
  }
}
