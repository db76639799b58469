package org.cuminrack.config;

/** The kinds of object in a configuration. */
public enum ConfigKind {
  ORGANISATION(Organisation.class),
  SERVICE(Service.class),
  ROUTE(Route.class),
  DATA_CENTRE(DataCentre.class),
  UPSTREAM(Upstream.class),
  ROLLOUT(Rollout.class);

  private final Class<? extends ConfigObject> type;

  ConfigKind(Class<? extends ConfigObject> type) {
    this.type = type;
  }

  /** Returns the record class of objects of this kind. */
  public Class<? extends ConfigObject> type() {
    return type;
  }
}
