package org.cuminrack.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** The orders an engine has carried out. Safe for use by many threads. */
final class OrderBook {
  private final boolean checksFencing;
  private final List<EngineOrder> carriedOut = new ArrayList<>();
  private long highest;

  OrderBook(boolean checksFencing) {
    this.checksFencing = checksFencing;
  }

  /** Carries an order out; returns the highest number known where the order's is an old one. */
  synchronized OptionalLong carryOut(EngineOrder order) {
    if (checksFencing && order.fencingNumber() < highest) {
      return OptionalLong.of(highest);
    }
    highest = Math.max(highest, order.fencingNumber());
    carriedOut.add(order);
    return OptionalLong.empty();
  }

  synchronized List<EngineOrder> carriedOut() {
    return List.copyOf(carriedOut);
  }
}
