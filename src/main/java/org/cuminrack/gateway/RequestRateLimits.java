package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.log.LogEvent;

/** The rates of requests that upstreams name in their answers. Thread-safe: one lock. */
public final class RequestRateLimits {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Map<String, Double> requestsPerSecond = new HashMap<>();

  /**
   * Records what an answer of an upstream says of its limit: an answer that names none ends the one
   * before. An answer of another upstream says nothing, nor does one that only refuses.
   */
  synchronized void recordAnswer(UpstreamRecord upstream, ResponseHead head) {
    if (!head.matchesRequest() || head.misdirected()) {
      return;
    }
    if (head.requestsPerSecond().isLeft()) {
      logger.atWarning().log(
          "%s",
          LogEvent.named("upstream-limit-invalid")
              .with("upstream", upstream.id())
              .with("detail", head.requestsPerSecond().getLeft()));
      return;
    }
    OptionalDouble named = head.requestsPerSecond().get();
    if (named.isEmpty() && head.notExecuted()) {
      return;
    }
    Double before =
        named.isPresent()
            ? requestsPerSecond.put(upstream.id(), named.getAsDouble())
            : requestsPerSecond.remove(upstream.id());
    Double now = requestsPerSecond.get(upstream.id());
    if (now == null ? before != null : !now.equals(before)) {
      logger.atInfo().log(
          "%s",
          LogEvent.named("upstream-limit")
              .with("upstream", upstream.id())
              .with("requests_per_second", now == null ? "none" : now));
    }
  }
}
