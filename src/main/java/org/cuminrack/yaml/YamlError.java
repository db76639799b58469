package org.cuminrack.yaml;

/**
 * An error in a file, with its location.
 *
 * @param line counted from 1
 * @param key the key's path, such as {@code organisations[2].weight}; empty for the whole file
 */
public record YamlError(String file, int line, String key, String expected, String found) {

  @Override
  public String toString() {
    String location = key.isEmpty() ? "" : " " + key + ":";
    return file + ":" + line + ":" + location + " expected " + expected + ", found " + found;
  }
}
