package org.cuminrack.operator;

import java.time.Duration;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import org.cuminrack.config.Route;

/** Describes a route: {@code Routes.route("shop").to("shop").idempotent("GET")}. */
public final class Routes implements ConfigBuilder {
  private static final int MAX_TIMEOUT_MILLIS = 3_600_000;
  private static final int MAX_BODY_BYTES = 64 << 20;

  private final String name;
  private String service;
  private final Set<String> idempotentMethods = new TreeSet<>();
  private int timeoutMillis = Defaults.TIMEOUT_MILLIS;
  private int maxBodyBytes = Defaults.MAX_BODY_BYTES;

  private Routes(String name) {
    this.name = Names.check("name", name);
    this.service = this.name;
  }

  /** Begins a route to the service of the same name. */
  public static Routes route(String name) {
    return new Routes(name);
  }

  /** Sets the service it leads to. */
  public Routes to(String value) {
    service = Names.check("service", value);
    return this;
  }

  /** Adds HTTP methods that may be repeated; every other method runs at most once. */
  public Routes idempotent(String... methods) {
    idempotentMethods.addAll(Arrays.asList(methods));
    return this;
  }

  /** Sets how long a request may take when its caller names no deadline. */
  public Routes timeout(Duration value) {
    timeoutMillis = Names.checkWithin("timeout", (int) value.toMillis(), 1, MAX_TIMEOUT_MILLIS);
    return this;
  }

  /** Sets the largest body taken, in bytes. */
  public Routes maxBodyBytes(int value) {
    maxBodyBytes = Names.checkWithin("maxBodyBytes", value, 1, MAX_BODY_BYTES);
    return this;
  }

  @Override
  public Route build() {
    return new Route(name, service, idempotentMethods, timeoutMillis, maxBodyBytes);
  }
}
