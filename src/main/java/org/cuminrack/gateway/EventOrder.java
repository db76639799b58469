package org.cuminrack.gateway;

/** The order of event ids, which are whole numbers that grow. */
final class EventOrder {

  private EventOrder() {}

  /** Tells whether an event comes after another; ids of another form count as after. */
  static boolean isAfter(String id, String other) {
    try {
      return Long.parseLong(id) > Long.parseLong(other);
    } catch (NumberFormatException e) {
      return !id.equals(other);
    }
  }
}
