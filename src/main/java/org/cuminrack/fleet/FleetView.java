package org.cuminrack.fleet;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import org.cuminrack.control.RolloutCodec;
import org.cuminrack.generated.control.RoutingData;
import org.cuminrack.log.LogEvent;
import org.cuminrack.rollout.VersionRollout;
import org.cuminrack.routing.RoutingDecoder;
import org.cuminrack.routing.RoutingTable;

/**
 * A gateway's view of the fleet: the newest routing, suspects, upstreams and gateways received from
 * any control VM. Never reverts to an older routing. Thread-safe.
 */
public final class FleetView {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * The time for upstreams to announce themselves to restarted control VMs: they announce about
   * every second and try three control VMs.
   */
  private static final Duration ANNOUNCEMENT_GRACE_PERIOD = Duration.ofSeconds(3);

  private final UpstreamTable upstreams = new UpstreamTable();
  private final SuspectTable suspects = new SuspectTable();
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private final RoutingDecoder decoder;
  private volatile InForce inForce = new InForce(0, Optional.empty(), Set.of(), Map.of());
  private volatile boolean complete;
  private volatile long completedAtNanos;
  private volatile List<GatewayRecord> gateways = List.of();

  public FleetView(RoutingDecoder decoder) {
    this.decoder = decoder;
  }

  /**
   * Adds a listener that runs after a change of routing or upstreams, on the thread that applied
   * it.
   */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }

  /** Returns the routing table in force; empty until a quorum of control VMs has reported. */
  public Optional<RoutingTable> routing() {
    return complete ? inForce.table() : Optional.empty();
  }

  /** Marks the view as complete once a quorum of control VMs has reported a current state. */
  void markComplete(long nowNanos) {
    if (!complete) {
      completedAtNanos = nowNanos;
      complete = true;
    }
  }

  /** Returns whether a quorum of control VMs has reported a current state. */
  boolean isComplete() {
    return complete;
  }

  /** Returns whether upstreams may not yet have announced themselves to restarted control VMs. */
  public boolean mayLackAnnouncements(long nowNanos) {
    return !complete || nowNanos - completedAtNanos < ANNOUNCEMENT_GRACE_PERIOD.toNanos();
  }

  /** Returns the revision of the routing in force. */
  public long routingRevision() {
    return inForce.revision();
  }

  /** Returns the evacuated data centres, which receive no new requests. */
  public Set<String> evacuatedDataCentres() {
    return inForce.evacuatedDataCentres();
  }

  /** Returns the last roll-out of each service that had one, by service. */
  public Map<String, VersionRollout> rollouts() {
    return inForce.rollouts();
  }

  public UpstreamTable upstreams() {
    return upstreams;
  }

  public SuspectTable suspects() {
    return suspects;
  }

  /** Returns the live gateways, including this one. */
  public List<GatewayRecord> gateways() {
    return gateways;
  }

  void applyAnnounced(List<UpstreamRecord> announced) {
    boolean routingChanged = false;
    for (UpstreamRecord upstream : announced) {
      routingChanged |= upstreams.merge(upstream) == UpstreamChange.ROUTING_CHANGED;
    }
    if (routingChanged) {
      listeners.forEach(Runnable::run);
    }
  }

  void applyGateways(Collection<GatewayRecord> liveGateways) {
    gateways = List.copyOf(liveGateways);
  }

  void apply(RoutingData routing) {
    if (putInForce(routing)) {
      listeners.forEach(Runnable::run);
    }
  }

  private synchronized boolean putInForce(RoutingData routing) {
    if (routing.getRevision() <= inForce.revision()) {
      return false;
    }
    Optional<RoutingTable> table = decode(routing);
    Map<String, VersionRollout> rollouts =
        routing.getRolloutsList().stream()
            .map(RolloutCodec::rollout)
            .collect(Collectors.toUnmodifiableMap(VersionRollout::service, each -> each));
    inForce =
        new InForce(routing.getRevision(), table, Set.copyOf(routing.getEvacuatedList()), rollouts);
    logger.atInfo().log(
        "%s",
        LogEvent.named("routing-in-force")
            .with("revision", routing.getRevision())
            .with("version", routing.getVersion())
            .with("routes", table.map(routingTable -> routingTable.routes().size()).orElse(0))
            .with("evacuated", routing.getEvacuatedList())
            .with("rollouts", rollouts.values()));
    return true;
  }

  private Optional<RoutingTable> decode(RoutingData routing) {
    if (routing.getDocument().isEmpty()) {
      return inForce.table();
    }
    if (inForce.table().isPresent() && inForce.table().get().version() == routing.getVersion()) {
      return inForce.table();
    }
    Either<String, RoutingTable> decoded = decoder.decode(routing.getDocument().toByteArray());
    if (decoded.isLeft()) {
      logger.atSevere().log(
          "%s",
          LogEvent.named("routing-unreadable")
              .with("version", routing.getVersion())
              .with("detail", decoded.getLeft()));
      return inForce.table();
    }
    return Optional.of(decoded.get());
  }

  private record InForce(
      long revision,
      Optional<RoutingTable> table,
      Set<String> evacuatedDataCentres,
      Map<String, VersionRollout> rollouts) {}
}
