package org.cuminrack.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** The orders that an engine has executed. Thread-safe. */
final class OrderLog {
  private final boolean checksFencing;
  private final List<EngineOrder> executed = new ArrayList<>();
  private long highestFencingNumber;

  OrderLog(boolean checksFencing) {
    this.checksFencing = checksFencing;
  }

  /**
   * Executes an order. If fencing is checked and the order's number is lower than the highest known
   * one, does not execute it and returns the highest number.
   */
  synchronized OptionalLong execute(EngineOrder order) {
    if (checksFencing && order.fencingNumber() < highestFencingNumber) {
      return OptionalLong.of(highestFencingNumber);
    }
    highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
    executed.add(order);
    return OptionalLong.empty();
  }

  synchronized List<EngineOrder> executed() {
    return List.copyOf(executed);
  }
}
