package org.cuminrack.routing;

import java.util.Optional;

/**
 * A service that routes send requests to.
 *
 * @param maxConnections connections that one upstream accepts from all gateways together; not
 *     enforced by the gateway
 * @param coldRequestsPerSecond requests per second that one cold upstream, which is still warming
 *     up, accepts from all gateways together; 0 for no limit
 * @param engine set if the upstreams are engines
 */
public record ServiceSpec(
    String name, int maxConnections, double coldRequestsPerSecond, Optional<EngineSpec> engine) {}
