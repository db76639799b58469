package org.cuminrack.log;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A log event: a name and key=value pairs, formatted on one line.
 *
 * <pre>{@code
 * logger.atInfo().log("%s", LogEvent.named("lease-lost").with("entry", name).with("age_ms", 2100));
 * }</pre>
 */
public final class LogEvent {
  private final String name;
  private final Map<String, Object> fields = new LinkedHashMap<>();

  private LogEvent(String name) {
    this.name = name;
  }

  /** Creates an event; names are lower-case words joined by hyphens. */
  public static LogEvent named(String name) {
    return new LogEvent(name);
  }

  /** Adds a field; a key with a unit has it as a suffix. */
  public LogEvent with(String key, Object value) {
    fields.put(key, value);
    return this;
  }

  @Override
  public String toString() {
    StringBuilder line = new StringBuilder("event=").append(name);
    fields.forEach((key, value) -> line.append(' ').append(key).append('=').append(quoted(value)));
    return line.toString();
  }

  private static String quoted(Object value) {
    String text = String.valueOf(value);
    boolean plain = !text.isEmpty() && text.chars().noneMatch(LogEvent::needsQuotes);
    if (plain) {
      return text;
    }
    String escaped = text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    return '"' + escaped.replace("\r", "\\r") + '"';
  }

  private static boolean needsQuotes(int character) {
    return character <= ' ' || character == '"' || character == '=' || character == '\\';
  }
}
