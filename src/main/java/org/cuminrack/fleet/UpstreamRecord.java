package org.cuminrack.fleet;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;

/**
 * The latest announcement of an upstream.
 *
 * @param id the upstream's id; may be reused by a later incarnation
 * @param bornMillis the wall-clock time of its start; identifies the incarnation
 * @param sequence increases with each announcement of one incarnation
 * @param coldUntilNanos when its warm-up ends, on this process's monotonic clock
 * @param receivedNanos when the announcement was received, on this process's monotonic clock
 */
public record UpstreamRecord(
    String id,
    String service,
    String address,
    String dataCentre,
    int slots,
    UpstreamPhase phase,
    long bornMillis,
    long sequence,
    long coldUntilNanos,
    @JsonProperty("heard_nanos") long receivedNanos) {

  /** Returns whether this announcement is newer than another one of the same upstream id. */
  public boolean isNewerThan(UpstreamRecord other) {
    if (bornMillis != other.bornMillis) {
      return bornMillis > other.bornMillis;
    }
    return other.phase != UpstreamPhase.LEFT
        && (sequence > other.sequence || phase == UpstreamPhase.LEFT);
  }

  /** Returns the time since the announcement was received. */
  public Duration age(long nowNanos) {
    return Duration.ofNanos(Math.max(0, nowNanos - receivedNanos));
  }

  /** Returns whether the upstream is still warming up. */
  public boolean isCold(long nowNanos) {
    return coldUntilNanos - nowNanos > 0;
  }

  /** Returns a copy of this record with another phase. */
  public UpstreamRecord withPhase(UpstreamPhase newPhase) {
    return new UpstreamRecord(
        id,
        service,
        address,
        dataCentre,
        slots,
        newPhase,
        bornMillis,
        sequence,
        coldUntilNanos,
        receivedNanos);
  }
}
