package org.cuminrack.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cuminrack.generated.fleet.WatchAnswer;

/**
 * Combines what several control VMs have told a gateway into its view: a gateway is live if any of
 * them says so, and the one that heard last of an upstream counts. Thread-safe.
 */
final class PolledFleet {
  /** How often the times of announcements are updated while nothing changes. */
  private static final Duration UPDATE_INTERVAL = Duration.ofMillis(400);

  private final FleetView view;
  private Set<ControlPoll> lastTellingGateways = Set.of();
  private boolean updated;
  private long lastUpdateNanos;

  PolledFleet(FleetView view) {
    this.view = view;
  }

  /** Applies the parts of an answer that do not depend on other control VMs. */
  void apply(WatchAnswer answer, long nowNanos) {
    if (answer.hasSuspects()) {
      view.suspects().apply(answer.getSuspects());
    }
    if (answer.hasRouting()) {
      view.apply(answer.getRouting());
    }
    view.applyAnnounced(
        answer.getUpstreamsList().stream()
            .map(data -> FleetCodec.upstream(data, nowNanos))
            .toList());
  }

  /**
   * Updates the live gateways.
   *
   * @param telling the polls whose gateways count
   * @param changed whether one of them has told other gateways than before
   */
  synchronized void updateGateways(Set<ControlPoll> telling, boolean changed) {
    if (telling.isEmpty() || (!changed && telling.equals(lastTellingGateways))) {
      return;
    }
    lastTellingGateways = telling;
    Map<String, GatewayRecord> gateways = new TreeMap<>();
    telling.stream()
        .sorted((a, b) -> Long.compare(a.lastResponseNanos - b.lastResponseNanos, 0))
        .flatMap(poll -> poll.gateways().stream())
        .forEach(gateway -> gateways.put(gateway.vm(), gateway));
    view.applyGateways(gateways.values());
  }

  /**
   * Updates when upstreams have last announced themselves.
   *
   * @param changed whether a control VM has told other times than before
   */
  synchronized void updateAnnouncementTimes(
      Collection<ControlPoll> polls, boolean changed, long nowNanos) {
    boolean due = !updated || nowNanos - lastUpdateNanos >= UPDATE_INTERVAL.toNanos();
    if (!changed && !due) {
      return;
    }
    updated = true;
    lastUpdateNanos = nowNanos;
    List<HeardUpstreams> heard =
        polls.stream().map(ControlPoll::heard).collect(Collectors.toUnmodifiableList());
    view.upstreams().updateReceived(upstream -> lastReceivedNanos(upstream, heard, nowNanos));
  }

  private static long lastReceivedNanos(
      UpstreamRecord upstream, List<HeardUpstreams> heard, long nowNanos) {
    if (upstream.phase() == UpstreamPhase.LEFT) {
      return upstream.receivedNanos();
    }
    List<HeardUpstream> statements =
        heard.stream().flatMap(told -> told.find(upstream).stream()).toList();
    return statements.isEmpty()
        ? upstream.receivedNanos()
        : HeardUpstream.lastReceivedNanos(statements, nowNanos);
  }
}
