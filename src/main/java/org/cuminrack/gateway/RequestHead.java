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
}
