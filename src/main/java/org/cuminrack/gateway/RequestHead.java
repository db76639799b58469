package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Optional;

/**
 * What a caller's request says of itself beside method, path and body.
 *
 * @param attemptId names this attempt; new for each one of the caller's
 * @param deadline how long the caller waits
 * @param key proves whose request it is
 * @param demand set where an engine is to generate
 */
public record RequestHead(
    String attemptId,
    Optional<Duration> deadline,
    Optional<String> key,
    Optional<GenerationDemand> demand) {}
