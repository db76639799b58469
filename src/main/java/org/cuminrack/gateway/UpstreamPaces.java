package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.OptionalDouble;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.log.LogEvent;
import org.cuminrack.pace.Pace;
import org.cuminrack.pace.PaceTable;
import org.cuminrack.pace.UpstreamStart;
import org.cuminrack.pace.Work;

/**
 * Turns what upstreams show of their pace into samples: the load that they state, and the durations
 * of requests, prefills and gaps between events. Thread-safe.
 */
final class UpstreamPaces {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String INVALID_LOAD = "load";

  private final PaceTable table;
  private final LastErrors invalidLoads = new LastErrors();

  UpstreamPaces(PaceTable table) {
    this.table = table;
  }

  /** Records the load that an answer states; an answer of another upstream has no effect. */
  void recordAnswer(UpstreamRecord upstream, ResponseHead head) {
    if (!head.matchesRequest() || head.misdirected()) {
      return;
    }
    if (head.load().isLeft()) {
      recordInvalid(Incarnation.of(upstream), head.load().getLeft());
    } else {
      head.load()
          .get()
          .ifPresent(load -> table.recordStated(startOf(upstream), upstream.service(), load));
    }
  }

  private synchronized void recordInvalid(Incarnation upstream, String error) {
    // The text contains the figures, which may differ in each answer.
    if (invalidLoads.recordIfNew(upstream, INVALID_LOAD)) {
      logger.atWarning().log(
          "%s",
          LogEvent.named("upstream-load-invalid")
              .with("upstream", upstream.id())
              .with("detail", error));
    }
  }

  /**
   * Records the duration of a plain request.
   *
   * @param requestsBefore requests that all gateways had in progress there when it was sent
   */
  void recordPlain(
      UpstreamRecord upstream, String route, int requestsBefore, Duration sinceRequest) {
    int slots = Math.max(1, upstream.slots());
    double ahead = Math.max(0, requestsBefore + 1 - slots);
    table.recordWork(
        startOf(upstream),
        Work.plainRequest(upstream.service(), route),
        millis(sinceRequest) / (1 + ahead / slots));
  }

  /**
   * Records the time from a generation's request to its first output.
   *
   * @param prefillTokens the tokens of its prompt and of those ahead of it
   */
  void recordPrefill(UpstreamRecord upstream, long prefillTokens, Duration sinceRequest) {
    if (prefillTokens > 0) {
      table.recordWork(
          startOf(upstream),
          Work.prefill(upstream.service()),
          millis(sinceRequest) / prefillTokens);
    }
  }

  /** Records the mean time between two events of a stream. */
  void recordEventGap(UpstreamRecord upstream, Duration gap) {
    table.recordWork(startOf(upstream), Work.eventGap(upstream.service()), millis(gap));
  }

  /** Returns the pace of an upstream; the usual one if its service does not state paces. */
  Pace pace(UpstreamRecord upstream) {
    return table.isStatedBy(upstream.service()) ? table.pace(startOf(upstream)) : Pace.USUAL;
  }

  /** Returns the usual duration of the plain requests of a route. */
  OptionalDouble usualPlainMillis(String service, String route) {
    return table.usualMillis(Work.plainRequest(service, route));
  }

  /** Returns the usual time between two events of a stream. */
  OptionalDouble usualGapMillis(String service) {
    return table.usualMillis(Work.eventGap(service));
  }

  private static UpstreamStart startOf(UpstreamRecord upstream) {
    return new UpstreamStart(upstream.id(), upstream.startedMillis());
  }

  private static double millis(Duration duration) {
    return duration.toNanos() / 1e6;
  }
}
