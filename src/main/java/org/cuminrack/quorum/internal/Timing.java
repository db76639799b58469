package org.cuminrack.quorum.internal;

/** The protocol's heartbeat interval and the range of its randomized election timeout. */
public record Timing(
    long heartbeatNanos, long electionTimeoutMinNanos, long electionTimeoutMaxNanos) {

  public Timing {
    if (heartbeatNanos <= 0) {
      throw new IllegalArgumentException("heartbeatNanos: expected > 0, found " + heartbeatNanos);
    }
    if (electionTimeoutMinNanos <= heartbeatNanos) {
      throw new IllegalArgumentException(
          "electionTimeoutMinNanos: expected > heartbeatNanos, found " + electionTimeoutMinNanos);
    }
    if (electionTimeoutMaxNanos <= electionTimeoutMinNanos) {
      throw new IllegalArgumentException(
          "electionTimeoutMaxNanos: expected > electionTimeoutMinNanos, found "
              + electionTimeoutMaxNanos);
    }
  }
}
