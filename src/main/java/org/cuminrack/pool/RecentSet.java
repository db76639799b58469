package org.cuminrack.pool;

import java.util.LinkedHashMap;
import java.util.Map;

/** A set that holds the last {@value #MAX_VALUES} distinct values added to it. */
final class RecentSet<T> {
  private static final int MAX_VALUES = 4096;

  private final Map<T, Boolean> values =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<T, Boolean> eldest) {
          return size() > MAX_VALUES;
        }
      };

  void add(T value) {
    values.put(value, true);
  }

  boolean contains(T value) {
    return values.containsKey(value);
  }
}
