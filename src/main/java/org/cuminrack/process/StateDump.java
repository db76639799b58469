package org.cuminrack.process;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/** The state of a process, section by section, gathered when it is asked for. */
public final class StateDump {
  private final Map<String, Supplier<Object>> sections = new LinkedHashMap<>();

  /** Adds a section; its value is written as JSON. */
  public StateDump with(String section, Supplier<Object> state) {
    sections.put(section, state);
    return this;
  }

  /** Returns every section's state as it is now. */
  public Map<String, Object> gather() {
    Map<String, Object> state = new LinkedHashMap<>();
    sections.forEach((section, each) -> state.put(section, each.get()));
    return state;
  }
}
