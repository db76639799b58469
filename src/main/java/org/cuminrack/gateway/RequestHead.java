package org.cuminrack.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cuminrack.routing.HttpRoute;

/**
 * What the gateway reads from the headers of a caller's request.
 *
 * @param attemptId id of this attempt; the caller uses a new one for each attempt
 * @param timeout how long the caller waits
 * @param apiKey the API key, which identifies the organisation
 * @param demand the stated size of a generation; empty if none is stated
 * @param promptParts ids of the prompt's parts, in order; requests share all of them but the last
 */
public record RequestHead(
    String attemptId,
    Optional<Duration> timeout,
    Optional<String> apiKey,
    Optional<GenerationDemand> demand,
    List<String> promptParts) {

  public RequestHead {
    promptParts = List.copyOf(promptParts);
  }

  /** Returns how long after its arrival the request fails: the caller's or the route's timeout. */
  Duration timeLimit(HttpRoute route) {
    return timeout
        .filter(callerTimeout -> callerTimeout.compareTo(route.timeout()) < 0)
        .orElse(route.timeout());
  }

  /**
   * Returns a point from 0 to 1 that depends only on the attempt id, so that all requests with the
   * same id go to the same service of a split.
   */
  double splitPoint() {
    int hash = attemptId.hashCode() * 0x9E3779B9;
    return (hash >>> 1) / (double) Integer.MAX_VALUE * 0.999_999;
  }
}
