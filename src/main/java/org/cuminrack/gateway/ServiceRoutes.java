package org.cuminrack.gateway;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminrack.routing.HttpRoute;
import org.cuminrack.routing.RoutingTable;

/**
 * The route with the shortest target latency of each service. Searching all routes for each request
 * would cost too much with many routes, so the result is kept until the table changes. Not
 * thread-safe.
 */
final class ServiceRoutes {
  private final Map<Key, Optional<HttpRoute>> shortest = new HashMap<>();
  private RoutingTable table;

  private record Key(String service, boolean streamed) {}

  /** Returns the route to a service that has the shortest target latency, of one kind. */
  Optional<HttpRoute> shortestTarget(
      Optional<RoutingTable> current, String service, boolean streamed) {
    if (current.isEmpty()) {
      return Optional.empty();
    }
    if (current.get() != table) {
      table = current.get();
      shortest.clear();
    }
    return shortest.computeIfAbsent(new Key(service, streamed), this::find);
  }

  private Optional<HttpRoute> find(Key key) {
    return table.routes().stream()
        .filter(route -> route.kind().isStreamed() == key.streamed)
        .filter(
            route ->
                route.services().stream()
                    .anyMatch(weighted -> weighted.service().equals(key.service)))
        .min(Comparator.comparing(HttpRoute::targetLatency));
  }
}
