package org.cuminrack.operator;

/** Validates arguments of the configuration builders. */
final class ArgumentChecks {
  private static final String NAME_PATTERN = "[a-z0-9][a-z0-9._-]{0,62}";

  private ArgumentChecks() {}

  /** Returns the value if it is a valid name; otherwise throws an exception with the argument. */
  static String checkName(String argument, String value) {
    if (value == null || !value.matches(NAME_PATTERN)) {
      throw new IllegalArgumentException(
          argument
              + ": expected a name of 1 to 63 of a-z, 0-9, '.', '_' and '-', beginning with"
              + " a letter or digit, found "
              + (value == null ? "null" : "'" + value + "'"));
    }
    return value;
  }

  /** Returns the value if it is in the range; otherwise throws an exception with the argument. */
  static int checkRange(String argument, int value, int min, int max) {
    if (value < min || value > max) {
      throw new IllegalArgumentException(
          argument + ": expected a number from " + min + " to " + max + ", found " + value);
    }
    return value;
  }
}
