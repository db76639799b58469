package org.cuminrack.load;

import java.time.Duration;

/** Latency targets of responses, and the gap between tokens that counts as a stall. */
public final class LatencyTargets {
  /** Maximum time from the arrival of a request to its first token. */
  public static final Duration FIRST_TOKEN = Duration.ofMillis(1_500);

  /** Maximum mean time between two tokens of a response. */
  public static final Duration BETWEEN_TOKENS = Duration.ofMillis(41);

  /** A longer gap between two tokens counts in full as stall time. */
  public static final Duration STALL_AFTER = Duration.ofMillis(200);

  private LatencyTargets() {}
}
