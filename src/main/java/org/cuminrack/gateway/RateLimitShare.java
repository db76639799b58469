package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What one gateway, or several together, tell another of an upstream that has named a limit.
 *
 * @param upstreamId the upstream
 * @param startedMillis the time of its start
 * @param observed the newest answer at these gateways that says whether there is a limit; empty if
 *     they know of the limit only from others
 * @param sent requests that these gateways have sent to it within the limit's window
 * @param eligible requests of these gateways within the window that it was the best upstream for
 */
public record RateLimitShare(
    String upstreamId, long startedMillis, Optional<Observation> observed, int sent, int eligible) {

  /**
   * What an answer of an upstream has said.
   *
   * @param requestsPerSecond the limit; empty if there is none any more
   * @param age the time since the answer
   */
  public record Observation(OptionalDouble requestsPerSecond, Duration age) {}
}
