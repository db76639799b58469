package org.cuminrack.gateway;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * The plain requests of a service.
 *
 * @param targetLatency the shortest target latency of the service's routes
 * @param usualMillis the usual duration of a request of that route; empty if it is not known
 */
public record PlainWork(Duration targetLatency, OptionalDouble usualMillis) {
  /** Work of which neither a target nor a duration is known. */
  static final PlainWork UNKNOWN = new PlainWork(Duration.ZERO, OptionalDouble.empty());
}
