package org.cuminrack.log;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A line of a log, read back.
 *
 * @param text the line as it stands
 * @param fields its values by key, without quotes
 */
public record LogLine(Instant time, String text, Map<String, String> fields) {
  private static final Pattern FIELD =
      Pattern.compile("(\\w+)=(?:\"((?:[^\"\\\\]|\\\\.)*)\"|(\\S+))");

  /** Reads a line; empty where it is none of this project's. */
  public static Optional<LogLine> parse(String line) {
    Map<String, String> fields = new HashMap<>();
    Matcher matcher = FIELD.matcher(line);
    while (matcher.find()) {
      String quoted = matcher.group(2);
      fields.put(matcher.group(1), quoted == null ? matcher.group(3) : quoted);
    }
    try {
      String time = fields.getOrDefault("time", "");
      return Optional.of(new LogLine(Instant.parse(time), line, Map.copyOf(fields)));
    } catch (DateTimeParseException e) {
      return Optional.empty();
    }
  }

  /** Returns a value, empty where the line has no such key. */
  public String field(String key) {
    return fields.getOrDefault(key, "");
  }
}
