package org.cuminrack.fleet;

import java.time.Duration;

/**
 * What an upstream has announced last.
 *
 * @param id names the upstream; may be used again by a later life
 * @param bornMillis the wall-clock time of its start; tells its lives apart
 * @param sequence grows with each announcement of one life
 * @param coldUntilNanos when it will be warm, on this process's monotonic clock
 * @param heardNanos when the announcement came in, on this process's monotonic clock
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
    long heardNanos) {

  /** Tells whether this was said after another announcement of the same upstream. */
  public boolean isNewerThan(UpstreamRecord other) {
    if (bornMillis != other.bornMillis) {
      return bornMillis > other.bornMillis;
    }
    return other.phase != UpstreamPhase.LEFT
        && (sequence > other.sequence || phase == UpstreamPhase.LEFT);
  }

  /** Returns how long ago it was last heard. */
  public Duration age(long nowNanos) {
    return Duration.ofNanos(Math.max(0, nowNanos - heardNanos));
  }

  /** Tells whether it is still cold. */
  public boolean isCold(long nowNanos) {
    return coldUntilNanos - nowNanos > 0;
  }

  /** Returns this record in another phase. */
  public UpstreamRecord in(UpstreamPhase newPhase) {
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
        heardNanos);
  }
}
