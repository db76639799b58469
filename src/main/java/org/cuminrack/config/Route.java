package org.cuminrack.config;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

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

  /** Keeps the methods in order, so that equal routes print alike; none where they are left out. */
  public Route {
    Set<String> given = idempotentMethods == null ? Set.of() : idempotentMethods;
    idempotentMethods = Collections.unmodifiableSortedSet(new TreeSet<>(given));
  }

  @Override
  public ConfigKind kind() {
    return ConfigKind.ROUTE;
  }
}
