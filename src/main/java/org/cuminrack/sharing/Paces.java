package org.cuminrack.sharing;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import org.cuminrack.gateway.Incarnation;
import org.cuminrack.pace.PaceSharing;
import org.cuminrack.pace.UpstreamPace;

/** Helpers for the pace of upstreams. */
final class Paces {
  /** Takes no part in the exchange. */
  static final PaceSharing NONE =
      new PaceSharing() {
        @Override
        public List<UpstreamPace> ownPaces() {
          return List.of();
        }

        @Override
        public void mergeRemote(Collection<UpstreamPace> paces) {}
      };

  private Paces() {}

  static Incarnation key(UpstreamPace pace) {
    return new Incarnation(pace.upstreamId(), pace.startedMillis());
  }

  static UpstreamPace withAge(UpstreamPace pace, Duration age) {
    return new UpstreamPace(
        pace.upstreamId(), pace.startedMillis(), pace.slowdown(), pace.samples(), age);
  }
}
