package org.cuminrack.config;

/**
 * Brings a version of a model to every upstream of a service, a few at a time.
 *
 * @param service the service's name
 * @param model the model to load
 * @param version the version to load
 * @param maxUnavailable how many upstreams may be out for it at one time
 * @param paused true while no further upstream is to begin
 */
public record Rollout(
    String name, String service, String model, String version, int maxUnavailable, boolean paused)
    implements ConfigObject {

  @Override
  public ConfigKind kind() {
    return ConfigKind.ROLLOUT;
  }
}
