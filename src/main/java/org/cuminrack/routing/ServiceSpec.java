package org.cuminrack.routing;

import java.util.Optional;

/**
 * A service that routes lead to.
 *
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param coldRequestsPerSecond what an upstream that has just started can take
 * @param engine set where the upstreams are engines
 */
public record ServiceSpec(
    String name, int maxConnections, double coldRequestsPerSecond, Optional<EngineSpec> engine) {}
