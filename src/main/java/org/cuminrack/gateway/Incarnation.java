package org.cuminrack.gateway;

import org.cuminrack.fleet.UpstreamRecord;

/**
 * One start of an upstream, which may start again under the same id.
 *
 * @param id the upstream
 * @param startedMillis the wall-clock time of its start
 */
public record Incarnation(String id, long startedMillis) {
  static Incarnation of(UpstreamRecord upstream) {
    return new Incarnation(upstream.id(), upstream.startedMillis());
  }
}
