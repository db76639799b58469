package org.cuminrack.config;

/** Identifies a configuration object. */
public record ConfigKey(ConfigKind kind, String name) implements Comparable<ConfigKey> {

  @Override
  public int compareTo(ConfigKey other) {
    int byKind = kind.compareTo(other.kind);
    return byKind != 0 ? byKind : name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-') + "/" + name;
  }
}
