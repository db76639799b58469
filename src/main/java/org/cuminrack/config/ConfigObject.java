package org.cuminrack.config;

/** A configuration object managed by operators; its name is unique within its kind. */
public sealed interface ConfigObject
    permits Organisation, Service, Route, DataCentre, Upstream, Rollout {

  /** Returns the object's name. */
  String name();

  /** Returns the object's kind. */
  ConfigKind kind();

  /** Returns the kind and name that identify this object. */
  default ConfigKey key() {
    return new ConfigKey(kind(), name());
  }
}
