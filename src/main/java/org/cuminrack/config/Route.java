package org.cuminrack.config;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * Maps requests to a service. A generation uses the route whose name is the request's {@code
 * model}; a plain call uses the route whose name is the first segment of its path.
 *
 * @param service the service's name
 * @param idempotentMethods HTTP methods that may be retried; all others are executed at most once
 * @param timeoutMillis the timeout of a request whose caller sets no deadline
 * @param maxBodyBytes the largest accepted body
 */
public record Route(
    String name, String service, Set<String> idempotentMethods, int timeoutMillis, int maxBodyBytes)
    implements ConfigObject {

  /** Sorts the methods, so that equal routes have equal encodings; null means none. */
  public Route {
    Set<String> given = idempotentMethods == null ? Set.of() : idempotentMethods;
    idempotentMethods = Collections.unmodifiableSortedSet(new TreeSet<>(given));
  }

  @Override
  public ConfigKind kind() {
    return ConfigKind.ROUTE;
  }
}
