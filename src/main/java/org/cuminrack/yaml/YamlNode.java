package org.cuminrack.yaml;

import java.util.List;
import java.util.Map;

/** A value of a YAML file and the line it stands on, counted from 1. */
public sealed interface YamlNode {

  int line();

  /** Returns what the value is, for error texts. */
  String described();

  /** A single value; null where the file has none. */
  record Scalar(String text, int line) implements YamlNode {
    @Override
    public String described() {
      return text == null ? "nothing" : "'" + text + "'";
    }
  }

  /** Named values, in the file's order. */
  record Mapping(Map<String, YamlNode> values, int line) implements YamlNode {
    @Override
    public String described() {
      return "a mapping";
    }
  }

  /** A list of values. */
  record Sequence(List<YamlNode> values, int line) implements YamlNode {
    @Override
    public String described() {
      return "a list";
    }
  }
}
