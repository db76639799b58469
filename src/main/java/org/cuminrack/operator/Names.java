package org.cuminrack.operator;

/** Checks of names given by operators' programs. */
final class Names {
  private static final String PATTERN = "[a-z0-9][a-z0-9._-]{0,62}";

  private Names() {}

  /** Returns the value where it is a name; the error names the argument. */
  static String check(String argument, String value) {
    if (value == null || !value.matches(PATTERN)) {
      throw new IllegalArgumentException(
          argument
              + ": expected a name of 1 to 63 of a-z, 0-9, '.', '_' and '-', beginning with"
              + " a letter or digit, found "
              + (value == null ? "null" : "'" + value + "'"));
    }
    return value;
  }

  /** Returns the value where it lies within the bounds; the error names the argument. */
  static int checkWithin(String argument, int value, int least, int most) {
    if (value < least || value > most) {
      throw new IllegalArgumentException(
          argument + ": expected a number from " + least + " to " + most + ", found " + value);
    }
    return value;
  }
}
