package org.cuminrack.load;

import java.time.Duration;

/** What callers are promised, and from when on a gap is a stall. */
public final class Targets {
  /** From a request's arrival to its first token. */
  public static final Duration FIRST_TOKEN = Duration.ofMillis(1_500);

  /** Between two tokens, in the mean of one answer. */
  public static final Duration BETWEEN_TOKENS = Duration.ofMillis(41);

  /** A longer gap between two tokens counts as stall time, from its beginning. */
  public static final Duration STALL_AFTER = Duration.ofMillis(200);

  private Targets() {}
}
