package org.cuminrack.config;

/**
 * An operator's setting for an upstream. An upstream without a setting accepts new work.
 *
 * @param retired true if it receives no new work
 */
public record Upstream(String name, boolean retired) implements ConfigObject {

  @Override
  public ConfigKind kind() {
    return ConfigKind.UPSTREAM;
  }
}
