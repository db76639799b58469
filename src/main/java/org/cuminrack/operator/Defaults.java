package org.cuminrack.operator;

/** Default values of the fields of configuration objects. */
final class Defaults {
  static final int WEIGHT = 1;
  static final int MAX_CONCURRENT_REQUESTS = 256;
  static final int TIMEOUT_MILLIS = 30_000;
  static final int MAX_BODY_BYTES = 256 << 10;
  static final int MAX_UNAVAILABLE = 1;

  private Defaults() {}
}
