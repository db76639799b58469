package org.cuminrack.log;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Finds, in the logs of many processes, the lines that tell what became of a request: its own, and
 * those that changed what its gateways believed of its upstreams, of control and of the routing.
 */
public final class RequestExplanation {
  /** How long before a request's first line a change may still have decided something. */
  private static final Duration BEFORE = Duration.ofSeconds(5);

  private static final Set<String> BELIEFS =
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

  /** Returns the lines that concern a request, in the order of their time. */
  public static List<LogLine> of(String requestId, List<LogLine> lines) {
    List<LogLine> own =
        lines.stream()
            .filter(each -> each.field("request").equals(requestId))
            .sorted(Comparator.comparing(LogLine::time))
            .toList();
    if (own.isEmpty()) {
      return own;
    }
    Set<String> upstreams =
        own.stream().map(each -> each.field("upstream")).collect(Collectors.toSet());
    Instant from = own.get(0).time().minus(BEFORE);
    Instant to = own.get(own.size() - 1).time();
    return lines.stream()
        .filter(
            each ->
                each.field("request").equals(requestId)
                    || (isBelief(each, upstreams)
                        && !each.time().isBefore(from)
                        && !each.time().isAfter(to)))
        .sorted(Comparator.comparing(LogLine::time))
        .toList();
  }

  private static boolean isBelief(LogLine line, Set<String> upstreams) {
    boolean ofAnotherUpstream =
        line.field("event").equals("upstream-moved") && !upstreams.contains(line.field("upstream"));
    return BELIEFS.contains(line.field("event")) && !ofAnotherUpstream;
  }
}
