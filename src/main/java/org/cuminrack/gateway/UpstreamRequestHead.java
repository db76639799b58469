package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Optional;

/**
 * What the gateway adds to the headers of a request to an upstream.
 *
 * @param timeout the caller's remaining time
 * @param upstreamId the intended upstream; another one at the same address refuses the request
 * @param organisation the organisation that sent the request
 * @param backupAddress the engine that keeps a backup of the generation's memory
 * @param resume set if the generation resumes from a memory copy
 */
public record UpstreamRequestHead(
    Duration timeout,
    String upstreamId,
    Optional<String> organisation,
    Optional<String> backupAddress,
    Optional<ResumePoint> resume) {}
