package org.cuminrack.log;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Selects the log lines of several processes that explain the outcome of a request: its own lines,
 * changes of its upstreams, and changes of routing, evacuations, gateways and control, stops and
 * lost log lines in any process shortly before or during it.
 */
public final class RequestExplanation {
  /** How long before a request's first line a change may still have influenced it. */
  private static final Duration LOOKBACK = Duration.ofSeconds(5);

  private static final Set<String> VIEW_CHANGE_EVENTS =
      Set.of(
          "upstream-moved",
          "routing-in-force",
          "evacuation-set",
          "control-lost",
          "control-found",
          "gateway-seen",
          "stopping",
          "log-lines-dropped");

  private RequestExplanation() {}

  /** Returns the lines relevant to a request, ordered by time. */
  public static List<LogLine> of(String requestId, List<LogLine> lines) {
    List<LogLine> own =
        lines.stream()
            .filter(line -> line.field("request").equals(requestId))
            .sorted(Comparator.comparing(LogLine::time))
            .toList();
    if (own.isEmpty()) {
      return own;
    }
    Set<String> upstreams =
        own.stream().map(line -> line.field("upstream")).collect(Collectors.toSet());
    Instant from = own.get(0).time().minus(LOOKBACK);
    Instant to = own.get(own.size() - 1).time();
    return lines.stream()
        .filter(
            line ->
                line.field("request").equals(requestId)
                    || (isViewChange(line, upstreams)
                        && !line.time().isBefore(from)
                        && !line.time().isAfter(to)))
        .sorted(Comparator.comparing(LogLine::time))
        .toList();
  }

  private static boolean isViewChange(LogLine line, Set<String> upstreams) {
    boolean ofAnotherUpstream =
        line.field("event").equals("upstream-moved") && !upstreams.contains(line.field("upstream"));
    return VIEW_CHANGE_EVENTS.contains(line.field("event")) && !ofAnotherUpstream;
  }
}
