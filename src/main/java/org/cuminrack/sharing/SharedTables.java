package org.cuminrack.sharing;

import org.cuminrack.fairshare.DemandTable;
import org.cuminrack.gateway.LoadTable;
import org.cuminrack.gateway.RequestRateLimits;
import org.cuminrack.gateway.UpstreamNotices;
import org.cuminrack.pace.PaceSharing;

/** What a gateway tells the boards, and where it keeps what it learns of the other gateways. */
public record SharedTables(
    LoadTable loads,
    RequestRateLimits rateLimits,
    UpstreamNotices notices,
    DemandTable demand,
    PaceSharing paces) {

  /** Returns tables without the pace of upstreams. */
  public static SharedTables withoutPaces(
      LoadTable loads, RequestRateLimits rateLimits, UpstreamNotices notices, DemandTable demand) {
    return new SharedTables(loads, rateLimits, notices, demand, Paces.NONE);
  }
}
