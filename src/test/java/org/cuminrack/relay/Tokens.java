package org.cuminrack.relay;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/** Extracts token indices and event IDs from the response to a caller. */
final class Tokens {
  private static final Pattern INDEX = Pattern.compile("data: \\{\"index\":(\\d+)");
  private static final Pattern ID = Pattern.compile("id: (\\S+)");

  private Tokens() {}

  static List<Integer> indices(String body) {
    return INDEX.matcher(body).results().map(match -> Integer.valueOf(match.group(1))).toList();
  }

  static List<Integer> indicesUpTo(int last) {
    return IntStream.rangeClosed(0, last).boxed().toList();
  }

  /** Returns the ID of the last event, or an empty string if there is none. */
  static String lastEventId(String body) {
    Matcher matcher = ID.matcher(body);
    String last = "";
    while (matcher.find()) {
      last = matcher.group(1);
    }
    return last;
  }
}
