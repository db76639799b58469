package org.cuminrack.routing;

import java.time.Duration;
import java.util.List;

/**
 * A route from a host and path prefix to services.
 *
 * @param pathPrefix begins and ends with a slash
 * @param timeout the longest time that a caller is kept waiting
 * @param targetLatency the time in which an answer, or its first event, is on time
 * @param priority 0 is the most urgent
 * @param maxUpstreams how many upstreams one request may be sent to
 * @param isPublic whether callers need no key
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

  /** Returns the service that a point in 0 to 1 of the split falls on. */
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
