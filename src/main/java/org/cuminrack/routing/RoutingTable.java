package org.cuminrack.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The routes, services, API keys and limits of one version of the routing document. Immutable. */
public final class RoutingTable {
  private final long version;
  private final List<HttpRoute> routes;
  private final Map<String, Map<String, HttpRoute>> routesByHost = new HashMap<>();
  private final Map<String, ServiceSpec> services;
  private final Optional<Map<String, KeyHolder>> keys;
  private final Map<String, Double> weights = new HashMap<>();
  private final CallerLimits limits;

  /**
   * Creates a table.
   *
   * @param services services by name
   * @param keys key holders by API key; absent if callers need no key, whereas a map without any
   *     key admits callers to public routes only
   */
  public RoutingTable(
      long version,
      List<HttpRoute> routes,
      Map<String, ServiceSpec> services,
      Optional<Map<String, KeyHolder>> keys,
      CallerLimits limits) {
    this.version = version;
    this.routes = List.copyOf(routes);
    this.services = Map.copyOf(services);
    this.keys = keys.map(Map::copyOf);
    this.limits = limits;
    this.keys.ifPresent(
        holders ->
            holders
                .values()
                .forEach(holder -> weights.put(holder.organisation(), holder.weight())));
    for (HttpRoute route : routes) {
      routesByHost
          .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
          .put(route.pathPrefix(), route);
    }
  }

  public long version() {
    return version;
  }

  public List<HttpRoute> routes() {
    return routes;
  }

  public CallerLimits limits() {
    return limits;
  }

  /** Returns the names of all services. */
  public Set<String> serviceNames() {
    return services.keySet();
  }

  /** Returns a service by its name. */
  public Optional<ServiceSpec> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns whether routes that are not public require an API key. */
  public boolean requiresApiKeys() {
    return keys.isPresent();
  }

  /** Returns the holder of an API key. */
  public Optional<KeyHolder> holderOf(String key) {
    return keys.map(holders -> holders.get(key));
  }

  /** Returns the weight of an organisation's share; the default if it is unknown. */
  public double weightOf(String organisation) {
    return weights.getOrDefault(organisation, KeyHolder.DEFAULT_WEIGHT);
  }

  /** Returns the route of this host whose prefix is the longest match of the path. */
  public Optional<HttpRoute> route(String host, String path) {
    Map<String, HttpRoute> byPrefix = routesByHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
    if (byPrefix == null) {
      return Optional.empty();
    }
    int slash = path.lastIndexOf('/');
    while (slash >= 0) {
      HttpRoute route = byPrefix.get(path.substring(0, slash + 1));
      if (route != null) {
        return Optional.of(route);
      }
      slash = slash == 0 ? -1 : path.lastIndexOf('/', slash - 1);
    }
    return Optional.empty();
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon < 0 || host.endsWith("]") ? host : host.substring(0, colon);
  }
}
