package org.cuminrack.pace;

/**
 * One start of an upstream.
 *
 * @param upstreamId the upstream
 * @param startedMillis the time of its start
 */
public record UpstreamStart(String upstreamId, long startedMillis) {}
