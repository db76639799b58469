package org.cuminrack.standin;

import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Markers in a prompt with which a test controls the stand-in engine that runs it. */
final class PromptMarkers {
  private static final Pattern TOKENS = Pattern.compile("\\[\\[tokens=(\\d{1,6})]]");
  private static final String POISON = "[[poison]]";

  private PromptMarkers() {}

  /** Returns the output length set by the prompt; empty if it sets none. */
  static OptionalInt outputTokens(String prompt) {
    Matcher matcher = TOKENS.matcher(prompt);
    if (!matcher.find()) {
      return OptionalInt.empty();
    }
    return OptionalInt.of(Integer.parseInt(matcher.group(1)));
  }

  /** Returns whether the prompt crashes an engine that runs it. */
  static boolean isPoison(String prompt) {
    return prompt.contains(POISON);
  }
}
