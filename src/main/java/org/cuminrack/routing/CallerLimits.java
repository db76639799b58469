package org.cuminrack.routing;

import java.time.Duration;

/** What callers may send, and how long they may take or leave a connection idle. */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {}
