package org.cuminrack.config;

/**
 * What upstreams offer and routes lead to.
 *
 * @param serviceKind generations or plain calls
 * @param interactive whether its requests are short and answered before long ones
 */
public record Service(String name, ServiceKind serviceKind, boolean interactive)
    implements ConfigObject {

  @Override
  public ConfigKind kind() {
    return ConfigKind.SERVICE;
  }
}
