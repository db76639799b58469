package org.cuminrack.config;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** All configuration objects at one revision. Immutable. */
public final class Configuration {
  private static final Configuration EMPTY = new Configuration(0, Map.of());

  private final long revision;
  private final Map<ConfigKey, VersionedObject> objects;

  private Configuration(long revision, Map<ConfigKey, VersionedObject> objects) {
    this.revision = revision;
    this.objects = objects;
  }

  /** Returns a configuration without objects, at revision 0. */
  public static Configuration empty() {
    return EMPTY;
  }

  /** Returns a configuration that holds the given objects at the given revision. */
  public static Configuration of(long revision, Collection<VersionedObject> objects) {
    Map<ConfigKey, VersionedObject> byKey = new TreeMap<>();
    objects.forEach(versioned -> byKey.put(versioned.object().key(), versioned));
    return new Configuration(revision, byKey);
  }

  /** Returns the revision of this configuration. */
  public long revision() {
    return revision;
  }

  /** Returns all objects, ordered by kind and name. */
  public List<VersionedObject> objects() {
    return List.copyOf(objects.values());
  }

  /** Returns the object with this key, if it exists. */
  public Optional<VersionedObject> find(ConfigKey key) {
    return Optional.ofNullable(objects.get(key));
  }

  public Optional<Organisation> organisation(String name) {
    return find(ConfigKind.ORGANISATION, name, Organisation.class);
  }

  public Optional<Service> service(String name) {
    return find(ConfigKind.SERVICE, name, Service.class);
  }

  public Optional<Route> route(String name) {
    return find(ConfigKind.ROUTE, name, Route.class);
  }

  /** Returns whether this data centre is drained and receives no new work. */
  public boolean isDrained(String dataCentre) {
    return find(ConfigKind.DATA_CENTRE, dataCentre, DataCentre.class)
        .map(DataCentre::drained)
        .orElse(false);
  }

  /** Returns whether this upstream is retired and receives no new work. */
  public boolean isRetired(String upstream) {
    return find(ConfigKind.UPSTREAM, upstream, Upstream.class).map(Upstream::retired).orElse(false);
  }

  private <T extends ConfigObject> Optional<T> find(ConfigKind kind, String name, Class<T> type) {
    return find(new ConfigKey(kind, name)).map(VersionedObject::object).map(type::cast);
  }
}
