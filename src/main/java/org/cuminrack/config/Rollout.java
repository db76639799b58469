package org.cuminrack.config;

/**
 * A rolling update of all upstreams of a service to a version of a model.
 *
 * @param service the service's name
 * @param model the model to load
 * @param version the version to load
 * @param maxUnavailable the maximum number of upstreams that the rollout takes out of service at a
 *     time
 * @param paused true if no further upstream is updated
 */
public record Rollout(
    String name, String service, String model, String version, int maxUnavailable, boolean paused)
    implements ConfigObject {

  @Override
  public ConfigKind kind() {
    return ConfigKind.ROLLOUT;
  }
}
