package org.cuminrack.routing;

import java.util.Optional;

/**
 * A service that routes send requests to.
 *
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param coldRequestsPerSecond requests per second that a cold upstream accepts; 0 for no limit
 * @param engine set if the upstreams are engines
 */
public record ServiceSpec(
    String name, int maxConnections, double coldRequestsPerSecond, Optional<EngineSpec> engine) {}
