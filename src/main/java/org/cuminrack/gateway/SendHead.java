package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Optional;

/**
 * What the gateway adds to a request that it sends to an upstream.
 *
 * @param deadline what is left of the caller's time
 * @param upstreamId who is meant; another one at the address refuses
 * @param organisation whose request it is
 * @param backupAddress the engine that gets a copy of the generation's memory
 * @param resume set where a generation goes on from such a copy
 */
public record SendHead(
    Duration deadline,
    String upstreamId,
    Optional<String> organisation,
    Optional<String> backupAddress,
    Optional<ResumePoint> resume) {}
