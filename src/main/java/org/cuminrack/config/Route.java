package org.cuminrack.config;

import java.util.Set;

/**
 * Leads callers to a service. A generation's route is chosen by the request's {@code model}, which
 * is the route's name; a plain call's by the first segment of its path, likewise the route's name.
 *
 * @param service the service's name
 * @param idempotentMethods HTTP methods that may be repeated; every other method runs at most once
 * @param timeoutMillis how long a request may take when its caller names no deadline
 * @param maxBodyBytes the largest body taken
 */
public record Route(
    String name, String service, Set<String> idempotentMethods, int timeoutMillis, int maxBodyBytes)
    implements ConfigObject {

  @Override
  public ConfigKind kind() {
    return ConfigKind.ROUTE;
  }
}
