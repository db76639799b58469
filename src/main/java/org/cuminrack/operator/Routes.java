package org.cuminrack.operator;

import java.time.Duration;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import org.cuminrack.config.Route;

/** Builds a route: {@code Routes.route("shop").to("shop").idempotent("GET")}. */
public final class Routes implements ConfigBuilder {
  private static final int MAX_TIMEOUT_MILLIS = 3_600_000;
  private static final int MAX_BODY_BYTES = 64 << 20;

  private final String name;
  private String service;
  private final Set<String> idempotentMethods = new TreeSet<>();
  private int timeoutMillis = Defaults.TIMEOUT_MILLIS;
  private int maxBodyBytes = Defaults.MAX_BODY_BYTES;

  private Routes(String name) {
    this.name = ArgumentChecks.checkName("name", name);
    this.service = this.name;
  }

  /** Returns a builder of a route to the service of the same name. */
  public static Routes route(String name) {
    return new Routes(name);
  }

  /** Sets the target service. */
  public Routes to(String value) {
    service = ArgumentChecks.checkName("service", value);
    return this;
  }

  /** Adds HTTP methods that are safe to retry; requests of other methods run at most once. */
  public Routes idempotent(String... methods) {
    idempotentMethods.addAll(Arrays.asList(methods));
    return this;
  }

  /** Sets the timeout of requests without a deadline from the caller. */
  public Routes timeout(Duration value) {
    timeoutMillis =
        ArgumentChecks.checkRange("timeout", (int) value.toMillis(), 1, MAX_TIMEOUT_MILLIS);
    return this;
  }

  /** Sets the maximum size of a request body, in bytes. */
  public Routes maxBodyBytes(int value) {
    maxBodyBytes = ArgumentChecks.checkRange("maxBodyBytes", value, 1, MAX_BODY_BYTES);
    return this;
  }

  @Override
  public Route build() {
    return new Route(name, service, idempotentMethods, timeoutMillis, maxBodyBytes);
  }
}
