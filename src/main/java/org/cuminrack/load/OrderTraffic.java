package org.cuminrack.load;

import org.cuminrack.yaml.MappingReader;

/**
 * The plain calls of a profile.
 *
 * @param route the route of the shop service
 * @param perHundredGenerations calls sent for each hundred generations
 * @param lookupPercent calls that are idempotent look-ups; the others are orders with a key
 */
public record OrderTraffic(String route, int perHundredGenerations, int lookupPercent) {

  static OrderTraffic read(MappingReader reader) {
    return new OrderTraffic(
        reader.name("route"),
        reader.number("per_hundred_generations", 0, 10_000),
        reader.number("lookup_percent", 0, 100));
  }
}
