package org.cuminrack.yaml;

import java.util.List;
import java.util.Map;

/** A value of a YAML file and its line, counted from 1. */
public sealed interface YamlNode {

  int line();

  /** Returns a description of the value for error messages. */
  String description();

  /** A single value; its text is null if the file gives none. */
  record Scalar(String text, int line) implements YamlNode {
    @Override
    public String description() {
      return text == null ? "nothing" : "'" + text + "'";
    }
  }

  /** Named values, in file order. */
  record Mapping(Map<String, YamlNode> values, int line) implements YamlNode {
    @Override
    public String description() {
      return "a mapping";
    }
  }

  /** A list of values. */
  record Sequence(List<YamlNode> values, int line) implements YamlNode {
    @Override
    public String description() {
      return "a list";
    }
  }
}
