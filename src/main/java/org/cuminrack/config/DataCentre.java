package org.cuminrack.config;

/**
 * A data centre and whether it takes new work.
 *
 * @param drained true while its upstreams are to receive no new work
 */
public record DataCentre(String name, boolean drained) implements ConfigObject {

  @Override
  public ConfigKind kind() {
    return ConfigKind.DATA_CENTRE;
  }
}
