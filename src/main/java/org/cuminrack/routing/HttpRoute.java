package org.cuminrack.routing;

import java.time.Duration;
import java.util.List;

/**
 * A route from a host and path prefix to services.
 *
 * @param pathPrefix begins and ends with a slash
 * @param timeout the time after which the request fails
 * @param targetLatency the target time to the response, or to the first event of a stream
 * @param priority 0 is the most urgent
 * @param maxUpstreams upper bound of upstreams that one request is sent to
 * @param isPublic whether callers need no API key
 */
public record HttpRoute(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    Duration timeout,
    Duration targetLatency,
    int priority,
    List<WeightedService> services,
    int maxUpstreams,
    boolean isPublic) {

  public HttpRoute {
    services = List.copyOf(services);
  }

  /** Returns the service at a point from 0 to 1 of the weighted split. */
  public String serviceAt(double point) {
    int total = services.stream().mapToInt(WeightedService::weight).sum();
    double left = point * total;
    for (WeightedService each : services) {
      left -= each.weight();
      if (left < 0) {
        return each.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
