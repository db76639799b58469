package org.cuminrack.fleet;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.cuminrack.control.ControlState;
import org.cuminrack.generated.fleet.ShareCall;
import org.cuminrack.generated.fleet.WatchCall;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.log.LogEvent;
import org.cuminrack.quorum.LossTolerance;
import org.cuminrack.rollout.VersionCapacity;
import org.cuminrack.rollout.VersionRollout;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireServer;

/**
 * The fleet service of a control VM: receives announcements, shares them with the other control VMs
 * and serves the watch calls of gateways. Announcements bypass the replicated log: upstreams repeat
 * them, and a table in which the newest announcement wins needs no ordering between VMs.
 */
public final class FleetControl implements ManagedService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final byte[] EMPTY_REPLY = {};

  /** How long a watch call waits for a change before it is answered. */
  private static final Duration MAX_WATCH_WAIT = Duration.ofMillis(500);

  /**
   * Shorter limit while this VM's state is not current, because it is expected to become current
   * soon.
   */
  private static final Duration MAX_WATCH_WAIT_NOT_CURRENT = Duration.ofMillis(50);

  /**
   * The interval at which announcements merged since the last time, including renewals, are shared
   * with the other control VMs. An upstream's announcement that changes routing is also shared at
   * once.
   */
  private static final Duration SHARE_INTERVAL = Duration.ofMillis(500);

  /**
   * Delay of responses after a change of suspects. Many upstreams may end at once, each reported by
   * every gateway, and each response goes to every gateway.
   */
  private static final Duration SUSPECTS_DELAY = Duration.ofMillis(50);

  private final UpstreamTable upstreams = new UpstreamTable();
  private final GatewayTable gateways = new GatewayTable();

  /** Identifies this run of the process; change numbers start again in each run. */
  private final long bootId = new SecureRandom().nextLong(1, Long.MAX_VALUE);

  private final WatchResponses responses;
  private final PendingWatches watches;
  private final AnnouncementSharing sharing;
  private final ControlState state;
  private final BooleanSupplier stateIsCurrent;
  private final Clock clock;
  private final AtomicBoolean responseDue = new AtomicBoolean();
  private ScheduledExecutorService worker;

  /**
   * Creates a service.
   *
   * @param stateIsCurrent whether the replicated state of this VM has caught up with the leader's
   *     term
   * @param controlVms supplies the control VMs
   * @param tolerance the losses of control VMs that an acknowledged announcement has to survive
   */
  public FleetControl(
      ControlState state,
      WireClient wire,
      BooleanSupplier stateIsCurrent,
      Supplier<ControlVms> controlVms,
      LossTolerance tolerance,
      Clock clock) {
    this.responses =
        new WatchResponses(bootId, state, stateIsCurrent, upstreams, gateways, controlVms, clock);
    this.watches = new PendingWatches(responses::build);
    this.sharing = new AnnouncementSharing(wire, controlVms, tolerance, clock);
    this.state = state;
    this.stateIsCurrent = stateIsCurrent;
    this.clock = clock;
    state.onRoutingChange(watches::respondToAll);
    state.onSuspectChange(this::respondSoon);
  }

  /** Registers this service's methods with a server; call before the server starts. */
  public void register(WireServer server) {
    server.serve(Method.WATCH_FLEET, this::watch);
    server.serve(Method.SHARE_UPSTREAMS, this::mergeShared);
  }

  @Override
  public synchronized void start() {
    worker =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "fleet-control");
              thread.setDaemon(true);
              return thread;
            });
    long millis = SHARE_INTERVAL.toMillis();
    worker.scheduleWithFixedDelay(
        this::shareAndRemoveSilent, millis, millis, TimeUnit.MILLISECONDS);
  }

  @Override
  public synchronized void stop() {
    if (worker != null) {
      worker.shutdownNow();
      worker = null;
    }
  }

  /** Returns the live gateways. */
  public List<GatewayRecord> gateways() {
    return gateways.live(clock.nanoTime());
  }

  /** Returns the newest announcement of an upstream. */
  public Optional<UpstreamRecord> upstream(String id) {
    return upstreams.find(id);
  }

  /** Returns the upstreams of a service that is rolled out which accept requests at full rate. */
  public VersionCapacity capacity(VersionRollout rollout) {
    long nowNanos = clock.nanoTime();
    List<String> evacuated = state.routing().getEvacuatedList();
    Map<Boolean, List<UpstreamRecord>> byIsNew =
        upstreams.ofService(rollout.service()).stream()
            .filter(upstream -> upstream.phase() == UpstreamPhase.READY)
            .filter(upstream -> !upstream.isCold(nowNanos))
            .filter(upstream -> !evacuated.contains(upstream.dataCentre()))
            .collect(Collectors.partitioningBy(upstream -> rollout.isNew(upstream.version())));
    return new VersionCapacity(
        byIsNew.get(true).size(), slots(byIsNew.get(true)), slots(byIsNew.get(false)));
  }

  private static int slots(List<UpstreamRecord> upstreams) {
    return upstreams.stream().mapToInt(UpstreamRecord::slots).sum();
  }

  /** Returns the versions of a service's upstreams that have not left. */
  public Set<String> versions(String service) {
    return upstreams.ofService(service).stream()
        .map(UpstreamRecord::version)
        .collect(Collectors.toSet());
  }

  /** Returns all upstreams, for the dump. */
  public List<UpstreamRecord> upstreams() {
    return upstreams.all();
  }

  /**
   * Merges an announcement. Completes with true if it may be acknowledged: an announcement that
   * changes routing, or repeats that its upstream takes no new requests, must first be stored on so
   * many voters that it survives the tolerated losses. A repeat follows one that may not have been.
   */
  public CompletableFuture<Boolean> mergeAnnouncement(UpstreamRecord announced) {
    UpstreamChange change = upstreams.merge(announced);
    if (change == UpstreamChange.ROUTING_CHANGED) {
      logRoutingChange(announced, "announcement");
      watches.respondToAll();
    } else if (announced.phase() == UpstreamPhase.READY) {
      return CompletableFuture.completedFuture(true);
    }
    return sharing.shareAndAwaitCopies(upstreams.find(announced.id()).orElse(announced));
  }

  private CompletableFuture<byte[]> mergeShared(byte[] payload) {
    long nowNanos = clock.nanoTime();
    boolean routingChanged = false;
    try {
      for (var data : ShareCall.parseFrom(payload).getUpstreamsList()) {
        UpstreamRecord shared = FleetCodec.upstream(data, nowNanos);
        if (upstreams.merge(shared) == UpstreamChange.ROUTING_CHANGED) {
          logRoutingChange(shared, "control");
          routingChanged = true;
        }
      }
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
    if (routingChanged) {
      watches.respondToAll();
    }
    return CompletableFuture.completedFuture(EMPTY_REPLY);
  }

  private static void logRoutingChange(UpstreamRecord upstream, String source) {
    logger.atInfo().log(
        "%s",
        LogEvent.named("upstream-moved")
            .with("upstream", upstream.id())
            .with("service", upstream.service())
            .with("address", upstream.address())
            .with("phase", upstream.phase())
            .with("born_millis", upstream.startedMillis())
            .with("sequence", upstream.sequence())
            .with("source", source));
  }

  private void shareAndRemoveSilent() {
    try {
      sharing.shareChanged(upstreams);
      upstreams.removeSilent(clock.nanoTime());
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("%s", LogEvent.named("fleet-share-failed"));
    }
  }

  CompletableFuture<byte[]> watch(byte[] payload) {
    WatchCall call;
    try {
      call = WatchCall.parseFrom(payload);
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
    GatewayRecord gateway = FleetCodec.gateway(call.getGateway());
    boolean changed = gateways.recordCall(gateway, clock.nanoTime());
    if (changed) {
      logger.atInfo().log(
          "%s",
          LogEvent.named("gateway-seen")
              .with("vm", gateway.vm())
              .with("serving", gateway.serving()));
      watches.respondToAll();
    }
    boolean isForOtherBoot = call.getControlBoot() != bootId;
    if (isForOtherBoot || responses.hasNewStateFor(call)) {
      return CompletableFuture.completedFuture(responses.build(call));
    }
    if (responses.hasNewerSuspects(call)) {
      respondSoon();
    }
    return awaitChange(call);
  }

  /** Responds to all pending calls after a short delay, so that one response has many changes. */
  private void respondSoon() {
    ScheduledExecutorService timer;
    synchronized (this) {
      timer = worker;
    }
    if (timer == null || !responseDue.compareAndSet(false, true)) {
      return;
    }
    try {
      timer.schedule(this::respondNow, SUSPECTS_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      // The service was stopped concurrently; no gateway waits for a response any more.
    }
  }

  private void respondNow() {
    responseDue.set(false);
    watches.respondToAll();
  }

  private CompletableFuture<byte[]> awaitChange(WatchCall call) {
    ScheduledExecutorService timer;
    synchronized (this) {
      timer = worker;
    }
    if (timer == null) {
      return CompletableFuture.completedFuture(responses.build(call));
    }
    Duration maxWait = stateIsCurrent.getAsBoolean() ? MAX_WATCH_WAIT : MAX_WATCH_WAIT_NOT_CURRENT;
    return watches.add(call, maxWait, timer);
  }
}
