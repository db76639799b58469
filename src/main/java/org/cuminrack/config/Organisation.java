package org.cuminrack.config;

/**
 * A customer whose callers send requests.
 *
 * @param weight its share of a crowded pool, relative to the other organisations
 * @param maxConcurrentRequests how many of its requests run or wait at one time on one entry
 * @param keySha256 hex digest of the key its callers present; null where none is asked for
 */
public record Organisation(String name, int weight, int maxConcurrentRequests, String keySha256)
    implements ConfigObject {

  @Override
  public ConfigKind kind() {
    return ConfigKind.ORGANISATION;
  }
}
