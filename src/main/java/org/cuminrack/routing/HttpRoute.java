package org.cuminrack.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A route from a host and path prefix to services.
 *
 * @param pathPrefix begins and ends with a slash
 * @param timeout the time from arrival after which a request fails
 * @param targetLatency the target time to the response, or to the first event of a stream
 * @param targetEventGap the longest time between two events of a stream that meets the target;
 *     empty if the route states none
 * @param priority 0 is the most urgent
 * @param maxAttempts the maximum number of times that a request is sent
 * @param isPublic whether callers need no API key
 */
public record HttpRoute(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    Duration timeout,
    Duration targetLatency,
    Optional<Duration> targetEventGap,
    int priority,
    List<WeightedService> services,
    int maxAttempts,
    boolean isPublic) {

  public HttpRoute {
    services = List.copyOf(services);
  }

  /** Returns the name of the service at a point from 0 to 1 of the weighted split. */
  public String serviceAt(double point) {
    int totalWeight = services.stream().mapToInt(WeightedService::weight).sum();
    double remainingWeight = point * totalWeight;
    for (WeightedService weighted : services) {
      remainingWeight -= weighted.weight();
      if (remainingWeight < 0) {
        return weighted.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
