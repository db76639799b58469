package org.cuminrack.yaml;

/**
 * What is wrong in a file, and where.
 *
 * @param line counted from 1
 * @param key the key's path, such as {@code organisations[2].weight}; empty for the whole file
 */
public record YamlError(String file, int line, String key, String expected, String found) {

  @Override
  public String toString() {
    String where = key.isEmpty() ? "" : " " + key + ":";
    return file + ":" + line + ":" + where + " expected " + expected + ", found " + found;
  }
}
