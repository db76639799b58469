package org.cuminrack.log;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Selects the log lines of several processes that explain the outcome of a request: the request's
 * own lines, and events shortly before or during it that may have influenced it. These events are
 * changes of its upstreams, changes of routing, evacuations, gateways and control, process stops
 * and dropped log lines.
 */
public final class RequestExplanation {
  /** How long before a request's first line an event may still have influenced the request. */
  private static final Duration LOOKBACK = Duration.ofSeconds(5);

  private static final Set<String> CONTEXT_EVENTS =
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
    List<LogLine> ownLines =
        lines.stream()
            .filter(line -> line.field("request").equals(requestId))
            .sorted(Comparator.comparing(LogLine::time))
            .toList();
    if (ownLines.isEmpty()) {
      return ownLines;
    }
    Set<String> upstreams =
        ownLines.stream().map(line -> line.field("upstream")).collect(Collectors.toSet());
    Instant from = ownLines.get(0).time().minus(LOOKBACK);
    Instant to = ownLines.get(ownLines.size() - 1).time();
    return lines.stream()
        .filter(
            line ->
                line.field("request").equals(requestId)
                    || (isContext(line, upstreams)
                        && !line.time().isBefore(from)
                        && !line.time().isAfter(to)))
        .sorted(Comparator.comparing(LogLine::time))
        .toList();
  }

  private static boolean isContext(LogLine line, Set<String> upstreams) {
    boolean isOtherUpstream =
        line.field("event").equals("upstream-moved") && !upstreams.contains(line.field("upstream"));
    return CONTEXT_EVENTS.contains(line.field("event")) && !isOtherUpstream;
  }
}
