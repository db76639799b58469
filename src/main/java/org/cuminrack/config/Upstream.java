package org.cuminrack.config;

/**
 * An operator's decision about one upstream; upstreams without one take work.
 *
 * @param retired true while it is to receive no new work
 */
public record Upstream(String name, boolean retired) implements ConfigObject {

  @Override
  public ConfigKind kind() {
    return ConfigKind.UPSTREAM;
  }
}
