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
 * A configuration under construction. It prints as YAML that is the same for the same objects in
 * whatever order they were added, so that a change reads well in review.
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

  /** Begins a plan without objects. */
  public static Plan empty() {
    return new Plan();
  }

  /** Adds what the builder describes, in place of an object of the same kind and name. */
  public Plan with(ConfigBuilder builder) {
    return with(builder.build());
  }

  /** Adds an object, in place of one of the same kind and name. */
  public Plan with(ConfigObject object) {
    objects.put(object.key(), object);
    return this;
  }

  /** Takes a data centre out: its upstreams receive no new work. */
  public Plan drain(String dataCentre) {
    return with(new DataCentre(Names.check("dataCentre", dataCentre), true));
  }

  /** Brings a data centre back. */
  public Plan undrain(String dataCentre) {
    return with(new DataCentre(Names.check("dataCentre", dataCentre), false));
  }

  /** Takes an upstream out for good: it receives no new work. */
  public Plan retire(String upstream) {
    return with(new Upstream(Names.check("upstream", upstream), true));
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
    return ConfigurationYaml.print(objects());
  }
}
