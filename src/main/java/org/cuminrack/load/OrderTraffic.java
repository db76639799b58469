package org.cuminrack.load;

import org.cuminrack.yaml.MappingReader;

/**
 * The plain HTTP calls that a profile sends in addition to generations.
 *
 * @param route the route of the shop service
 * @param perHundredGenerations calls sent per hundred generations
 * @param lookupPercent percentage of idempotent look-ups; the other calls are orders with an
 *     idempotency key
 */
public record OrderTraffic(String route, int perHundredGenerations, int lookupPercent) {

  static OrderTraffic read(MappingReader reader) {
    return new OrderTraffic(
        reader.name("route"),
        reader.number("per_hundred_generations", 0, 10_000),
        reader.number("lookup_percent", 0, 100));
  }
}
