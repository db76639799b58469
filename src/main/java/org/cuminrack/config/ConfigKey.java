package org.cuminrack.config;

import java.util.Locale;

/** Identifies a configuration object. */
public record ConfigKey(ConfigKind kind, String name) implements Comparable<ConfigKey> {

  @Override
  public int compareTo(ConfigKey other) {
    int byKind = kind.compareTo(other.kind);
    return byKind != 0 ? byKind : name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return kind.name().toLowerCase(Locale.ROOT).replace('_', '-') + "/" + name;
  }
}
