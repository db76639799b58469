package org.cuminrack.gateway;

import java.time.Duration;
import org.cuminrack.fleet.UpstreamRecord;

/**
 * What one dispatch tells about the version of its upstream. The first outcome counts: of a plain
 * request its answer, of a generation its first output. What a generation does later counts as that
 * of a route of its own. Used by one thread at a time.
 */
final class DispatchOutcome {
  private static final int SERVER_ERROR = 500;

  /** Events after the first output over which the pace of a generation is measured. */
  private static final int PACED_EVENTS = 8;

  private final VersionOutcomes outcomes;
  private final UpstreamRecord upstream;
  private final String route;
  private final Duration targetLatency;
  private long sentNanos;
  private long firstOutputNanos;
  private int eventsAfterFirst;
  private boolean sent;
  private boolean answered;
  private boolean paced;
  private boolean ended;

  DispatchOutcome(GatewayContext context, GatewayCall call, UpstreamRecord upstream) {
    this.outcomes = context.versionOutcomes();
    this.upstream = upstream;
    this.route = call.route().name();
    this.targetLatency = call.route().targetLatency();
  }

  void sent() {
    sent = true;
    sentNanos = outcomes.nanoTime();
    outcomes.recordSent(upstream, route);
  }

  /** Records a complete answer that is not a stream. */
  void responded(int status) {
    if (status >= SERVER_ERROR) {
      failed();
    } else {
      answered();
      ended = true;
    }
  }

  private void answered() {
    if (sent && !answered && !ended) {
      answered = true;
      outcomes.recordAnswer(upstream, route, since(sentNanos));
    }
  }

  /** Records an event of a generation. */
  void event() {
    if (!answered) {
      answered();
      firstOutputNanos = outcomes.nanoTime();
      return;
    }
    eventsAfterFirst++;
    if (eventsAfterFirst == PACED_EVENTS) {
      recordPace();
    }
  }

  /** Records that the generation is complete. */
  void completed() {
    if (eventsAfterFirst > 0) {
      recordPace();
    }
    ended = true;
  }

  private void recordPace() {
    if (!paced && !ended) {
      paced = true;
      Duration gap = since(firstOutputNanos).dividedBy(eventsAfterFirst);
      outcomes.recordAnswer(upstream, laterRoute(), gap);
    }
  }

  /** Records that the answer shows a failure, or was lost. */
  void failed() {
    if (sent && !ended) {
      outcomes.recordFailure(upstream, answered ? laterRoute() : route);
    }
    ended = true;
  }

  /** Records that nobody waits for the outcome any more; the time so far counts if it is long. */
  void abandoned() {
    if (sent && !answered && !ended && since(sentNanos).compareTo(targetLatency) >= 0) {
      outcomes.recordAnswer(upstream, route, since(sentNanos));
    }
    ended = true;
  }

  private String laterRoute() {
    return route + " after first output";
  }

  private Duration since(long startNanos) {
    return Duration.ofNanos(outcomes.nanoTime() - startNanos);
  }
}
