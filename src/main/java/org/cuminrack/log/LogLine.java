package org.cuminrack.log;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A parsed log line.
 *
 * @param text the unparsed line
 * @param fields the values by key, without quotes
 */
public record LogLine(Instant time, String text, Map<String, String> fields) {
  private static final Pattern FIELD =
      Pattern.compile("(\\w+)=(?:\"((?:[^\"\\\\]|\\\\.)*)\"|(\\S+))");

  /** Parses a line; empty if it has no timestamp in this project's format. */
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

  /** Returns the value of a key, or an empty string if the line lacks it. */
  public String field(String key) {
    return fields.getOrDefault(key, "");
  }
}
