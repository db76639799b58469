package org.cuminrack.pace;

import java.time.Duration;

/**
 * How long work takes on one start of an upstream, compared with the other upstreams of its
 * service.
 *
 * @param upstreamId the upstream
 * @param startedMillis the time of its start
 * @param slowdown the duration of work as a multiple of what is usual at the service; 1 is usual
 * @param samples the number of observations that it rests on
 * @param age the time since the last of them
 */
public record UpstreamPace(
    String upstreamId, long startedMillis, double slowdown, int samples, Duration age) {}
