package org.cuminrack.pace;

import java.util.Collection;
import java.util.List;

/** What gateways tell each other of the pace of upstreams. Implementations are thread-safe. */
public interface PaceSharing {
  /** Returns the recent observations of this gateway. */
  List<UpstreamPace> ownPaces();

  /** Learns the observations of other gateways. */
  void mergeRemote(Collection<UpstreamPace> paces);
}
