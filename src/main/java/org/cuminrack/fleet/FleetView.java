package org.cuminrack.fleet;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cuminrack.generated.control.RoutingData;
import org.cuminrack.log.LogEvent;
import org.cuminrack.routing.RoutingDecoder;
import org.cuminrack.routing.RoutingTable;

/**
 * What a gateway believes: the newest routing, upstreams and gateways that any control VM has told
 * it. Never goes back to an older routing. Safe for use by many threads.
 */
public final class FleetView {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Upstreams announce themselves about every second, and try three control VMs. */
  private static final Duration YOUTH = Duration.ofSeconds(3);

  private final UpstreamTable upstreams = new UpstreamTable();
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private final RoutingDecoder decoder;
  private volatile InForce inForce = new InForce(0, Optional.empty(), Set.of());
  private volatile boolean complete;
  private volatile long completeNanos;
  private volatile List<GatewayRecord> gateways = List.of();

  public FleetView(RoutingDecoder decoder) {
    this.decoder = decoder;
  }

  /** Calls back after routing or upstreams changed, on the thread that brought the change. */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }

  /** Returns the routing table in force; empty while none is known for sure. */
  public Optional<RoutingTable> routing() {
    return complete ? inForce.table() : Optional.empty();
  }

  /** Notes that a quorum of control VMs has told what it knows. */
  void complete(long nowNanos) {
    if (!complete) {
      completeNanos = nowNanos;
      complete = true;
    }
  }

  /** Tells whether upstreams may not have announced themselves to restarted control VMs yet. */
  public boolean isYoung(long nowNanos) {
    return !complete || nowNanos - completeNanos < YOUTH.toNanos();
  }

  /** Returns the number that control gave to the routing in force. */
  public long routingRevision() {
    return inForce.revision();
  }

  /** Returns the data centres that get nothing new. */
  public Set<String> evacuated() {
    return inForce.evacuated();
  }

  public UpstreamTable upstreams() {
    return upstreams;
  }

  /** Returns the gateways that live, this one included. */
  public List<GatewayRecord> gateways() {
    return gateways;
  }

  void take(List<UpstreamRecord> announced, List<GatewayRecord> liveGateways) {
    boolean moved = false;
    for (UpstreamRecord each : announced) {
      moved |= upstreams.merge(each) == UpstreamChange.MOVED;
    }
    gateways = List.copyOf(liveGateways);
    if (moved) {
      listeners.forEach(Runnable::run);
    }
  }

  void take(RoutingData routing) {
    if (putInForce(routing)) {
      listeners.forEach(Runnable::run);
    }
  }

  private synchronized boolean putInForce(RoutingData routing) {
    if (routing.getRevision() <= inForce.revision()) {
      return false;
    }
    Optional<RoutingTable> table = decode(routing);
    inForce = new InForce(routing.getRevision(), table, Set.copyOf(routing.getEvacuatedList()));
    logger.atInfo().log(
        "%s",
        LogEvent.named("routing-in-force")
            .with("revision", routing.getRevision())
            .with("version", routing.getVersion())
            .with("routes", table.map(each -> each.routes().size()).orElse(0))
            .with("evacuated", routing.getEvacuatedList()));
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

  private record InForce(long revision, Optional<RoutingTable> table, Set<String> evacuated) {}
}
