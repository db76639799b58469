package org.cuminrack.quorum.internal;

/** The protocol's heartbeat interval and the range of its randomized election timeout. */
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
