package org.cuminrack.gateway;

/** Compares event ids, which are increasing integers. */
final class EventOrder {

  private EventOrder() {}

  /**
   * Returns whether an event comes after another; ids that are not integers come after any
   * different id.
   */
  static boolean isAfter(String id, String other) {
    try {
      return Long.parseLong(id) > Long.parseLong(other);
    } catch (NumberFormatException e) {
      return !id.equals(other);
    }
  }
}
