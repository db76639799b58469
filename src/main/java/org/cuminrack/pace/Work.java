package org.cuminrack.pace;

/**
 * A kind of work whose durations can be compared between the upstreams of a service.
 *
 * @param service the service
 * @param name the route of plain requests, or a part of a generation
 */
public record Work(String service, String name) {
  /** Returns the work of a plain request of a route. */
  public static Work plainRequest(String service, String route) {
    return new Work(service, "route:" + route);
  }

  /** Returns the prefill of one prompt token, from the request to the first output. */
  public static Work prefill(String service) {
    return new Work(service, "prefill");
  }

  /** Returns the time from one event of a stream to the next. */
  public static Work eventGap(String service) {
    return new Work(service, "event-gap");
  }
}
