package org.cuminrack.fleet;

import java.util.List;

/**
 * What a gateway has to be told of upstreams.
 *
 * @param changed upstreams whose announcement changed, or is no longer late
 * @param late upstreams whose announcement has become late
 * @param change the number up to which all changes are included
 * @param complete whether no later change is left to tell
 */
record UpstreamChanges(
    List<UpstreamRecord> changed, List<UpstreamRecord> late, long change, boolean complete) {

  UpstreamChanges {
    changed = List.copyOf(changed);
    late = List.copyOf(late);
  }
}
