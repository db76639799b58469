package org.cuminrack.config;

/**
 * A data centre and whether it accepts new work.
 *
 * @param drained true if its upstreams receive no new work
 */
public record DataCentre(String name, boolean drained) implements ConfigObject {

  @Override
  public ConfigKind kind() {
    return ConfigKind.DATA_CENTRE;
  }
}
