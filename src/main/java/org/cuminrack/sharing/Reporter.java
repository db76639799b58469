package org.cuminrack.sharing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cuminrack.fairshare.OrganisationDemand;
import org.cuminrack.gateway.RateLimitShare;
import org.cuminrack.gateway.UpstreamLoad;

/** What one gateway has told a board. Not thread-safe. */
final class Reporter {
  final long run;
  final Map<String, UpstreamLoad> loads = new HashMap<>();
  long number;
  long heardNanos;
  List<RateLimitShare> limits = List.of();
  List<OrganisationDemand> demand = List.of();

  Reporter(long run) {
    this.run = run;
  }

  /** Returns whether a call was sent before the last one that was heard. */
  boolean isNewerThan(long callRun, long callNumber) {
    return callRun < run || (callRun == run && callNumber <= number);
  }

  /** Returns whether the gateway has requests that count against a limit. */
  boolean usesLimits() {
    for (RateLimitShare share : limits) {
      if (share.sent() > 0 || share.eligible() > 0) {
        return true;
      }
    }
    return false;
  }

  /** Sets the load on one upstream and returns the one before. */
  UpstreamLoad put(String upstreamId, UpstreamLoad load) {
    UpstreamLoad before =
        load.equals(UpstreamLoad.NONE) ? loads.remove(upstreamId) : loads.put(upstreamId, load);
    return before == null ? UpstreamLoad.NONE : before;
  }

  /** Returns the upstreams with load that are not among these. */
  Set<String> upstreamsExcept(Set<String> upstreamIds) {
    Set<String> others = new HashSet<>(loads.keySet());
    others.removeAll(upstreamIds);
    return others;
  }
}
