package org.cuminrack.operator;

import org.cuminrack.config.Rollout;

/** Describes a rollout: {@code Rollouts.rollout("planner-4").of("planner", "4").on("meals")}. */
public final class Rollouts implements ConfigBuilder {
  private static final int MAX_UNAVAILABLE = 1_000;

  private final String name;
  private String service;
  private String model;
  private String version;
  private int maxUnavailable = Defaults.MAX_UNAVAILABLE;
  private boolean paused;

  private Rollouts(String name) {
    this.name = Names.check("name", name);
  }

  /** Begins a rollout. */
  public static Rollouts rollout(String name) {
    return new Rollouts(name);
  }

  /** Sets the model and version to load. */
  public Rollouts of(String modelName, String modelVersion) {
    model = Names.check("model", modelName);
    version = modelVersion;
    return this;
  }

  /** Sets the service whose upstreams load it. */
  public Rollouts on(String value) {
    service = Names.check("service", value);
    return this;
  }

  /** Sets how many upstreams may be out for it at one time. */
  public Rollouts maxUnavailable(int value) {
    maxUnavailable = Names.checkWithin("maxUnavailable", value, 1, MAX_UNAVAILABLE);
    return this;
  }

  /** Lets no further upstream begin until it is resumed. */
  public Rollouts paused() {
    paused = true;
    return this;
  }

  @Override
  public Rollout build() {
    Names.check("service", service);
    Names.check("model", model);
    return new Rollout(name, service, model, version, maxUnavailable, paused);
  }
}
