package org.cuminrack.routing;

import java.time.Duration;

/**
 * Limits on the size of callers' requests, on the time to send their heads and on idle connections.
 * The gateway enforces only the limit of the body.
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {}
