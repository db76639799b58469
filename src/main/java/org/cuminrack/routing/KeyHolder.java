package org.cuminrack.routing;

import java.util.OptionalInt;

/**
 * The organisation that an API key belongs to.
 *
 * @param priority overrides the priority of the route; 0 is the most urgent
 * @param weight its share of a service that organisations compete for, relative to the weights of
 *     the others; more than 0
 */
public record KeyHolder(String organisation, OptionalInt priority, double weight) {
  /** The weight of an organisation that has none of its own. */
  public static final double DEFAULT_WEIGHT = 1;

  public KeyHolder {
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight: expected a number above 0, found " + weight);
    }
  }

  /** Creates a key holder with the default weight. */
  public KeyHolder(String organisation, OptionalInt priority) {
    this(organisation, priority, DEFAULT_WEIGHT);
  }
}
