package org.cuminrack.gateway;

import java.util.HashMap;
import java.util.Map;

/** The last error of each upstream, so that each is logged only once. Not thread-safe. */
final class LastErrors {
  /** The most upstreams whose last error is remembered. */
  private static final int MAX_ERRORS = 1_000;

  private final Map<Incarnation, String> errors = new HashMap<>();

  /** Records the last error of an upstream; returns whether it differs from the one before. */
  boolean recordIfNew(Incarnation upstream, String error) {
    if (errors.size() >= MAX_ERRORS) {
      errors.clear();
    }
    return !error.equals(errors.put(upstream, error));
  }
}
