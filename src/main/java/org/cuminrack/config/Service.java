package org.cuminrack.config;

/**
 * A service provided by upstreams and reached through routes.
 *
 * @param serviceKind whether it serves generations or plain calls
 * @param interactive whether its requests are short and take priority over long ones
 */
public record Service(String name, ServiceKind serviceKind, boolean interactive)
    implements ConfigObject {

  @Override
  public ConfigKind kind() {
    return ConfigKind.SERVICE;
  }
}
