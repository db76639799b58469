package org.cuminrack.fairshare;

/**
 * What one request asks of a service.
 *
 * @param claimant whose claim it is placed on
 * @param units capacity that it needs: tokens of engine memory, or one slot
 * @param onTimeUntilNanos the time on the monotonic clock until which a place is early enough for
 *     the target latency
 * @param latestNanos the time after which a place is of no use
 * @param returning whether the caller was refused and has come back as told
 */
public record ShareRequest(
    Claimant claimant, long units, long onTimeUntilNanos, long latestNanos, boolean returning) {

  public ShareRequest {
    if (units <= 0) {
      throw new IllegalArgumentException("units: expected more than 0, found " + units);
    }
  }
}
