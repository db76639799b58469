package org.cuminrack.gateway;

import org.cuminrack.fleet.UpstreamRecord;

/** Brings what this gateway knows of the load on upstreams up to date. Thread-safe. */
public interface LoadFreshness {
  /** Takes the load as it is known. */
  LoadFreshness NONE = (service, then) -> then.run();

  /**
   * Runs a task once the load on a service's upstreams is recent, or after a short time if it can't
   * be learned.
   *
   * @param then runs once, on any thread; must not block
   */
  void refresh(String service, Runnable then);

  /**
   * Returns whether the load on an upstream was asked for lately; of services with many upstreams
   * only a part is asked for.
   */
  default boolean isCurrent(UpstreamRecord upstream) {
    return true;
  }
}
