package org.cuminrack.operator;

import org.cuminrack.config.Service;
import org.cuminrack.config.ServiceKind;

/** Builds a service: {@code Services.generations("meal-planner")}. */
public final class Services implements ConfigBuilder {
  private final String name;
  private final ServiceKind kind;
  private boolean interactive;

  private Services(String name, ServiceKind kind) {
    this.name = ArgumentChecks.checkName("name", name);
    this.kind = kind;
  }

  /** Returns a builder of a service of model engines. */
  public static Services generations(String name) {
    return new Services(name, ServiceKind.GENERATION);
  }

  /** Returns a builder of a service of plain HTTP calls. */
  public static Services plain(String name) {
    return new Services(name, ServiceKind.PLAIN);
  }

  /** Marks the service's requests as short, to be served before long ones. */
  public Services interactive() {
    interactive = true;
    return this;
  }

  @Override
  public Service build() {
    return new Service(name, kind, interactive);
  }
}
