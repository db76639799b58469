package org.cuminrack.directory;

import java.util.OptionalDouble;

/**
 * Decides which share of a caller's requests stays in its own data centre. It answers load that
 * moves between data centres: bytes between them are dear, and the gateways of one data centre may
 * get more than they can take.
 */
final class LocalShare {
  /**
   * The share that stays while there is room. The rest keeps a way open if all gateways of the data
   * centre are lost while callers still use an earlier answer.
   */
  private static final double MAX_SHARE = 0.92;

  /** From this use on, requests leave for data centres that are less used. */
  private static final double FULL_FROM_USE = 0.6;

  /** The excess of use at which only a proportional share stays. */
  private static final double FULL_EXCESS = 0.35;

  /** A data centre with less than this part of its equal share of capacity has lost gateways. */
  private static final double MIN_CAPACITY = 0.7;

  private LocalShare() {}

  /** Returns the share of requests for gateways of the caller's own data centre, from 0 to 1. */
  static double of(GatewayRooms own, GatewayRooms others) {
    if (own.size() == 0) {
      return 0;
    }
    if (others.size() == 0) {
      return 1;
    }
    double proportional = own.capacity() / (own.capacity() + others.capacity());
    OptionalDouble ownUse = own.meanUse();
    if (ownUse.isEmpty()) {
      return proportional;
    }
    double threshold = Math.max(FULL_FROM_USE, others.meanUse().orElse(FULL_FROM_USE));
    double excess = Math.min(1, Math.max(0, ownUse.getAsDouble() - threshold) / FULL_EXCESS);
    double equalShares = proportional * (1 + others.dataCentreCount());
    double whole = MAX_SHARE * Math.min(1, equalShares / MIN_CAPACITY);
    return Math.max(proportional, whole) * (1 - excess) + proportional * excess;
  }
}
