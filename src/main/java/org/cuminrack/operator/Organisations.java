package org.cuminrack.operator;

import org.cuminrack.config.Organisation;

/** Builds an organisation: {@code Organisations.organisation("app").weight(4)}. */
public final class Organisations implements ConfigBuilder {
  private static final int MAX_WEIGHT = 1_000;
  private static final int MAX_CONCURRENT_REQUESTS = 100_000;

  private final String name;
  private int weight = Defaults.WEIGHT;
  private int maxConcurrentRequests = Defaults.MAX_CONCURRENT_REQUESTS;
  private String keySha256;

  private Organisations(String name) {
    this.name = ArgumentChecks.checkName("name", name);
  }

  /** Returns a builder of an organisation. */
  public static Organisations organisation(String name) {
    return new Organisations(name);
  }

  /** Sets its share of an overloaded pool, relative to other organisations, from 1 to 1,000. */
  public Organisations weight(int value) {
    weight = ArgumentChecks.checkRange("weight", value, 1, MAX_WEIGHT);
    return this;
  }

  /** Sets how many of its requests may run or be queued concurrently on one entry. */
  public Organisations maxConcurrentRequests(int value) {
    maxConcurrentRequests =
        ArgumentChecks.checkRange("maxConcurrentRequests", value, 1, MAX_CONCURRENT_REQUESTS);
    return this;
  }

  /** Sets the SHA-256 of the key that its callers must present, in lower-case hex. */
  public Organisations keySha256(String value) {
    keySha256 = value;
    return this;
  }

  @Override
  public Organisation build() {
    return new Organisation(name, weight, maxConcurrentRequests, keySha256);
  }
}
