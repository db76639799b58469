package org.cuminrack.process;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/** The state of a process in named sections, each evaluated when the dump is requested. */
public final class StateDump {
  private final Map<String, Supplier<Object>> sections = new LinkedHashMap<>();

  /** Adds a section; its value is written as JSON. */
  public StateDump with(String section, Supplier<Object> state) {
    sections.put(section, state);
    return this;
  }

  /** Returns the current state of every section. */
  public Map<String, Object> gather() {
    Map<String, Object> state = new LinkedHashMap<>();
    sections.forEach((section, value) -> state.put(section, value.get()));
    return state;
  }
}
