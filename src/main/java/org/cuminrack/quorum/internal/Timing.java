package org.cuminrack.quorum.internal;

/** Intervals of the protocol, in nanoseconds. */
public record Timing(long heartbeatNanos, long electionMinNanos, long electionMaxNanos) {

  public Timing {
    if (heartbeatNanos <= 0) {
      throw new IllegalArgumentException("heartbeatNanos: expected > 0, found " + heartbeatNanos);
    }
    if (electionMinNanos <= heartbeatNanos) {
      throw new IllegalArgumentException(
          "electionMinNanos: expected > heartbeat, found " + electionMinNanos);
    }
    if (electionMaxNanos <= electionMinNanos) {
      throw new IllegalArgumentException(
          "electionMaxNanos: expected > electionMin, found " + electionMaxNanos);
    }
  }
}
