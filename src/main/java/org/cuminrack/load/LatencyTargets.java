package org.cuminrack.load;

import java.time.Duration;

/** The latency targets for callers, and the gap length that counts as a stall. */
public final class LatencyTargets {
  /** Time from the arrival of a request to its first token. */
  public static final Duration FIRST_TOKEN = Duration.ofMillis(1_500);

  /** Mean time between two tokens of a response. */
  public static final Duration BETWEEN_TOKENS = Duration.ofMillis(41);

  /** A longer gap between two tokens counts as stall time, over its whole length. */
  public static final Duration STALL_AFTER = Duration.ofMillis(200);

  private LatencyTargets() {}
}
