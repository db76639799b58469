package org.cuminrack.gateway;

import org.cuminrack.fleet.FleetView;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.relay.RelayBounds;
import org.cuminrack.time.Clock;

/** Dependencies shared by the handling of all requests. */
record GatewayContext(
    FleetView view,
    HeaderTranslation headers,
    EngineCalls engineCalls,
    UpstreamSelector selector,
    LoadFreshness freshness,
    UpstreamHealth health,
    ServiceReach reach,
    RequestRateLimits rateLimits,
    UpstreamNotices notices,
    UpstreamPaces paces,
    RetryBudgets retries,
    CrashSuspects suspects,
    GenerationQueue queue,
    StopAdmission stopAdmission,
    RunningCalls runningCalls,
    GatewayCounters counters,
    RequestMetrics requestMetrics,
    VersionOutcomes versionOutcomes,
    RelayBounds bounds,
    Clock clock) {

  /** Records that a dispatch to an upstream failed before any byte of a response. */
  void recordNoResponse(UpstreamRecord upstream) {
    reach.recordNoResponse(upstream.service(), upstream.id());
  }

  /** Records that a response has begun, and what it states about further requests. */
  void recordAnswer(UpstreamRecord upstream, ResponseHead head) {
    reach.recordResponse(upstream.service());
    rateLimits.recordAnswer(upstream, head);
    notices.recordAnswer(upstream, head);
    paces.recordAnswer(upstream, head);
  }
}
