package org.cuminrack.operator;

import org.cuminrack.config.Rollout;

/** Builds a rollout: {@code Rollouts.rollout("planner-4").of("planner", "4").on("meals")}. */
public final class Rollouts implements ConfigBuilder {
  private static final int MAX_UNAVAILABLE = 1_000;

  private final String name;
  private String service;
  private String model;
  private String version;
  private int maxUnavailable = Defaults.MAX_UNAVAILABLE;
  private boolean paused;

  private Rollouts(String name) {
    this.name = ArgumentChecks.checkName("name", name);
  }

  /** Returns a builder of a rollout. */
  public static Rollouts rollout(String name) {
    return new Rollouts(name);
  }

  /** Sets the model and version to load. */
  public Rollouts of(String modelName, String modelVersion) {
    model = ArgumentChecks.checkName("model", modelName);
    version = modelVersion;
    return this;
  }

  /** Sets the service whose upstreams load the model. */
  public Rollouts on(String value) {
    service = ArgumentChecks.checkName("service", value);
    return this;
  }

  /** Sets how many upstreams may be unavailable at a time because of the rollout. */
  public Rollouts maxUnavailable(int value) {
    maxUnavailable = ArgumentChecks.checkRange("maxUnavailable", value, 1, MAX_UNAVAILABLE);
    return this;
  }

  /** Pauses the rollout: no further upstream starts to load the model. */
  public Rollouts paused() {
    paused = true;
    return this;
  }

  @Override
  public Rollout build() {
    ArgumentChecks.checkName("service", service);
    ArgumentChecks.checkName("model", model);
    return new Rollout(name, service, model, version, maxUnavailable, paused);
  }
}
