package org.cuminrack.fleet;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;

/**
 * The latest announcement of an upstream. An incarnation is one run of the upstream, from its start
 * to its end. The JSON names are those of the published state dump.
 *
 * @param id the upstream's id; may be reused by a later incarnation
 * @param slots the number of requests that the upstream processes concurrently
 * @param startedMillis the wall-clock time of the upstream's start; identifies the incarnation
 * @param sequence increases with each announcement of one incarnation
 * @param coldUntilNanos when its warm-up ends, on this process's monotonic clock
 * @param receivedNanos when the announcement was received, on this process's monotonic clock
 * @param version the version of the upstream's software; empty if it states none
 */
public record UpstreamRecord(
    String id,
    String service,
    String address,
    String dataCentre,
    int slots,
    UpstreamPhase phase,
    @JsonProperty("born_millis") long startedMillis,
    long sequence,
    long coldUntilNanos,
    @JsonProperty("heard_nanos") long receivedNanos,
    String version) {
  /** More than announcements of one warm-up differ by because of their way. */
  private static final Duration COLD_TOLERANCE = Duration.ofMillis(200);

  /** Creates a record of an upstream that states no version. */
  public UpstreamRecord(
      String id,
      String service,
      String address,
      String dataCentre,
      int slots,
      UpstreamPhase phase,
      long startedMillis,
      long sequence,
      long coldUntilNanos,
      long receivedNanos) {
    this(
        id,
        service,
        address,
        dataCentre,
        slots,
        phase,
        startedMillis,
        sequence,
        coldUntilNanos,
        receivedNanos,
        "");
  }

  /** Creates a record of an upstream of which nothing is known but that it takes no requests. */
  public static UpstreamRecord departed(
      String id, UpstreamPhase phase, long startedMillis, long sequence, long receivedNanos) {
    return new UpstreamRecord(
        id, "", "", "", 0, phase, startedMillis, sequence, receivedNanos, receivedNanos);
  }

  /**
   * Returns whether this announcement replaces another one of the same upstream id: it is of a
   * later incarnation, or newer in the same one. LEFT is final within an incarnation: it replaces
   * any other phase, whatever the sequence, and nothing replaces it.
   */
  public boolean isNewerThan(UpstreamRecord other) {
    if (startedMillis != other.startedMillis) {
      return startedMillis > other.startedMillis;
    }
    return other.phase != UpstreamPhase.LEFT
        && (sequence > other.sequence || phase == UpstreamPhase.LEFT);
  }

  /**
   * Returns whether this announcement names other slots, another data centre or another end of the
   * warm-up than an earlier one of the same incarnation.
   */
  boolean describesOtherCapacity(UpstreamRecord earlier) {
    long coldNanos = Math.max(0, coldUntilNanos - receivedNanos);
    long expectedColdNanos = Math.max(0, earlier.coldUntilNanos - receivedNanos);
    return slots != earlier.slots
        || !dataCentre.equals(earlier.dataCentre)
        || Math.abs(coldNanos - expectedColdNanos) > COLD_TOLERANCE.toNanos();
  }

  /** Returns the time since the announcement was received. */
  public Duration age(long nowNanos) {
    return Duration.ofNanos(Math.max(0, nowNanos - receivedNanos));
  }

  /** Returns whether the upstream is cold, that is, still warming up. */
  public boolean isCold(long nowNanos) {
    return coldUntilNanos - nowNanos > 0;
  }

  /** Returns a copy of this record with another phase. */
  public UpstreamRecord withPhase(UpstreamPhase newPhase) {
    return with(newPhase, sequence, receivedNanos);
  }

  /** Returns a copy of this record that drains, as an announcement with another number stated. */
  UpstreamRecord drainingSince(long drainingSequence) {
    return with(UpstreamPhase.DRAINING, drainingSequence, receivedNanos);
  }

  /** Returns a copy of this record with another time of receipt. */
  UpstreamRecord withReceived(long newReceivedNanos) {
    return with(phase, sequence, newReceivedNanos);
  }

  private UpstreamRecord with(UpstreamPhase newPhase, long newSequence, long newReceivedNanos) {
    return new UpstreamRecord(
        id,
        service,
        address,
        dataCentre,
        slots,
        newPhase,
        startedMillis,
        newSequence,
        coldUntilNanos,
        newReceivedNanos,
        version);
  }
}
