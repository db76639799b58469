package org.cuminrack.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminrack.config.ConfigKey;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.config.DataCentre;
import org.cuminrack.config.Upstream;

/**
 * Builds a configuration. Its YAML does not depend on the order in which objects were added, so
 * that a diff in a review shows only real changes.
 *
 * <pre>{@code
 * System.out.print(
 *     Plan.empty()
 *         .with(Organisations.organisation("app").weight(4))
 *         .with(Services.generations("meal-planner"))
 *         .with(Routes.route("meal-planner").to("meal-planner"))
 *         .drain("dc-b")
 *         .toYaml());
 * }</pre>
 */
public final class Plan {
  private final Map<ConfigKey, ConfigObject> objects = new TreeMap<>();

  private Plan() {}

  /** Returns an empty plan. */
  public static Plan empty() {
    return new Plan();
  }

  /** Adds the builder's object; replaces an object of the same kind and name. */
  public Plan with(ConfigBuilder builder) {
    return with(builder.build());
  }

  /** Adds an object; replaces an object of the same kind and name. */
  public Plan with(ConfigObject object) {
    objects.put(object.key(), object);
    return this;
  }

  /** Drains a data centre: its upstreams receive no new requests. */
  public Plan drain(String dataCentre) {
    return with(new DataCentre(ArgumentChecks.checkName("dataCentre", dataCentre), true));
  }

  /** Ends the drain of a data centre. */
  public Plan undrain(String dataCentre) {
    return with(new DataCentre(ArgumentChecks.checkName("dataCentre", dataCentre), false));
  }

  /** Retires an upstream: it receives no new requests. */
  public Plan retire(String upstream) {
    return with(new Upstream(ArgumentChecks.checkName("upstream", upstream), true));
  }

  /** Returns the object with this key, if the plan has one. */
  public Optional<ConfigObject> find(ConfigKey key) {
    return Optional.ofNullable(objects.get(key));
  }

  /** Returns the objects, ordered by kind and name. */
  public List<ConfigObject> objects() {
    return new ArrayList<>(objects.values());
  }

  /** Returns the plan as YAML. */
  public String toYaml() {
    return ConfigurationYaml.format(objects());
  }
}
