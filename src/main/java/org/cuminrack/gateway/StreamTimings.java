package org.cuminrack.gateway;

import java.time.Duration;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.time.Clock;

/**
 * Times the first output and the gaps between events of one dispatch, as samples of the engine's
 * pace. Confined to one I/O thread.
 */
final class StreamTimings {
  /** Gaps of one sample; fewer would cost more processor time for samples that vary more. */
  private static final int GAPS_PER_SAMPLE = 8;

  private final UpstreamPaces paces;
  private final Clock clock;
  private final UpstreamRecord upstream;
  private final long prefillTokens;
  private long sentNanos;
  private long firstNanos;
  private int events;
  private boolean sent;

  /**
   * Creates the timings of a dispatch.
   *
   * @param prefillTokens tokens of the prompt and of those ahead of it; 0 if none are prefilled
   */
  StreamTimings(UpstreamPaces paces, Clock clock, UpstreamRecord upstream, long prefillTokens) {
    this.paces = paces;
    this.clock = clock;
    this.upstream = upstream;
    this.prefillTokens = prefillTokens;
  }

  void requestSent() {
    sent = true;
    sentNanos = clock.nanoTime();
  }

  void eventReceived() {
    if (events == 0) {
      firstNanos = clock.nanoTime();
      if (sent) {
        sent = false;
        paces.recordPrefill(upstream, prefillTokens, Duration.ofNanos(firstNanos - sentNanos));
      }
    } else if (events == GAPS_PER_SAMPLE) {
      long nowNanos = clock.nanoTime();
      paces.recordEventGap(upstream, Duration.ofNanos((nowNanos - firstNanos) / GAPS_PER_SAMPLE));
      firstNanos = nowNanos;
      events = 0;
    }
    events++;
  }

  /** Begins anew after a time in which events were not read. */
  void readingPaused() {
    events = 0;
    sent = false;
  }
}
