package org.cuminrack.gateway;

import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.pace.Pace;

/**
 * An upstream that a request may be sent to.
 *
 * @param load the load that all gateways together place on it
 * @param avoided whether it is in backoff after failures or has stopped announcing itself
 * @param failureShare the exponential moving average of the share of its requests that failed
 * @param jitter a random number from 0 to 1, drawn for each choice
 * @param pace how fast it works
 * @param isFar whether it is in another data centre than the gateway
 */
public record Candidate(
    UpstreamRecord upstream,
    UpstreamLoad load,
    boolean avoided,
    double failureShare,
    double jitter,
    Pace pace,
    boolean isFar) {

  /** Creates a candidate in the gateway's data centre that works at the usual pace. */
  public Candidate(
      UpstreamRecord upstream,
      UpstreamLoad load,
      boolean avoided,
      double failureShare,
      double jitter) {
    this(upstream, load, avoided, failureShare, jitter, Pace.USUAL, false);
  }

  /** Returns the number of requests that it processes concurrently, at least 1. */
  int slots() {
    return Math.max(1, upstream.slots());
  }
}
