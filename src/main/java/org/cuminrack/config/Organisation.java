package org.cuminrack.config;

/**
 * A customer whose callers send requests.
 *
 * @param weight its fair share of an overloaded pool, relative to the other organisations
 * @param maxConcurrentRequests the maximum number of requests that run or wait at one entry at a
 *     time
 * @param keySha256 hex SHA-256 digest of its callers' API key; null if no key is required
 */
public record Organisation(String name, int weight, int maxConcurrentRequests, String keySha256)
    implements ConfigObject {

  @Override
  public ConfigKind kind() {
    return ConfigKind.ORGANISATION;
  }
}
