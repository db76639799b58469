package org.cuminrack.fleet;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.cuminrack.control.ControlState;
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
 * and serves the watch calls of gateways.
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

  /** Delay of responses after a change of gateways. Hundreds may start at about the same time. */
  private static final Duration GATEWAYS_DELAY = Duration.ofMillis(200);

  private final UpstreamTable upstreams = new UpstreamTable();
  private final GatewayTable gateways = new GatewayTable();

  /** Identifies this run of the process; change numbers start again in each run. */
  private final long bootId = new SecureRandom().nextLong(1, Long.MAX_VALUE);

  private final AnnouncementWatch announcements;
  private final WatchResponses responses;
  private final PendingWatches watches;
  private final ResponseSchedule schedule;
  private final AnnouncementSharing sharing;
  private final UpstreamAnnouncements merging;
  private final ControlState state;
  private final BooleanSupplier stateIsCurrent;
  private final Clock clock;
  private final Timer timer;
  private boolean departuresAdded;

  /**
   * Creates a service.
   *
   * @param departureStore stores departures in the replicated state of all control VMs
   * @param stateIsCurrent whether the replicated state of this VM has caught up with the leader's
   *     term
   * @param controlVms supplies the control VMs
   * @param tolerance the losses of control VMs that an acknowledged announcement has to survive
   */
  public FleetControl(
      ControlState state,
      DepartureStore departureStore,
      WireClient wire,
      BooleanSupplier stateIsCurrent,
      Supplier<ControlVms> controlVms,
      LossTolerance tolerance,
      Clock clock) {
    this(
        state,
        departureStore,
        wire,
        stateIsCurrent,
        controlVms,
        tolerance,
        clock,
        new ExecutorTimer());
  }

  FleetControl(
      ControlState state,
      DepartureStore departureStore,
      WireClient wire,
      BooleanSupplier stateIsCurrent,
      Supplier<ControlVms> controlVms,
      LossTolerance tolerance,
      Clock clock,
      Timer timer) {
    this.announcements = new AnnouncementWatch(upstreams, clock.nanoTime());
    this.responses =
        new WatchResponses(
            bootId, state, stateIsCurrent, upstreams, announcements, gateways, controlVms, clock);
    this.watches = new PendingWatches(responses, timer, clock);
    this.schedule = new ResponseSchedule(watches::respondToAll, timer, clock);
    this.sharing = new AnnouncementSharing(wire, controlVms, tolerance, clock);
    this.merging =
        new UpstreamAnnouncements(
            upstreams, new Departures(state, departureStore), sharing, schedule, clock);
    this.state = state;
    this.stateIsCurrent = stateIsCurrent;
    this.clock = clock;
    this.timer = timer;
    state.onRoutingChange(watches::respondToAll);
    state.onDepartures(merging::applyStored);
    state.onSuspectChange(() -> schedule.respondWithin(SUSPECTS_DELAY));
  }

  /** Registers this service's methods with a server; call before the server starts. */
  public void register(WireServer server) {
    server.serve(Method.WATCH_FLEET, this::watch);
    server.serve(Method.SHARE_UPSTREAMS, this::mergeShared);
  }

  @Override
  public void start() {
    timer.start();
    timer.runAfter(SHARE_INTERVAL, this::shareAndRemoveSilent);
    timer.runAfter(AnnouncementWatch.CHECK_INTERVAL, this::findLateAndExpired);
  }

  @Override
  public void stop() {
    timer.stop();
  }

  /** Returns the live gateways. */
  public List<GatewayRecord> gateways() {
    return gateways.live(clock.nanoTime());
  }

  /** Returns the live gateways with what they have said of their load. */
  public List<LoadedGateway> gatewaysWithLoad() {
    return gateways.liveWithLoad(clock.nanoTime());
  }

  /** Returns the size and use of each live gateway, by VM name, for the dump. */
  public Map<String, Object> gatewaysForDump() {
    Map<String, Object> dump = new TreeMap<>();
    gatewaysWithLoad().forEach(each -> dump.put(each.gateway().vm(), each.load().toDump()));
    return dump;
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

  /** Merges an announcement of an upstream; completes with true if it may be acknowledged. */
  public CompletableFuture<Boolean> mergeAnnouncement(UpstreamRecord announced) {
    return merging.merge(announced);
  }

  private CompletableFuture<byte[]> mergeShared(byte[] payload) {
    try {
      merging.mergeShared(payload);
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
    return CompletableFuture.completedFuture(EMPTY_REPLY);
  }

  private void shareAndRemoveSilent() {
    try {
      sharing.shareChanged(upstreams);
      upstreams.removeSilent(clock.nanoTime());
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("%s", LogEvent.named("fleet-share-failed"));
    }
    timer.runAfter(SHARE_INTERVAL, this::shareAndRemoveSilent);
  }

  private void findLateAndExpired() {
    try {
      long nowNanos = clock.nanoTime();
      if (!departuresAdded && stateIsCurrent.getAsBoolean()) {
        departuresAdded = true;
        merging.addRecentDepartures();
      }
      if (announcements.check(nowNanos)) {
        schedule.respondWithin(UpstreamAnnouncements.RESPONSE_DELAY);
      }
      if (gateways.removeExpired(nowNanos)) {
        schedule.respondWithin(GATEWAYS_DELAY);
      }
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("%s", LogEvent.named("fleet-check-failed"));
    }
    timer.runAfter(AnnouncementWatch.CHECK_INTERVAL, this::findLateAndExpired);
  }

  CompletableFuture<byte[]> watch(byte[] payload) {
    WatchCall call;
    try {
      call = WatchCall.parseFrom(payload);
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
    long nowNanos = clock.nanoTime();
    GatewayRecord gateway = FleetCodec.gateway(call.getGateway());
    if (gateways.recordCall(gateway, FleetCodec.load(call), nowNanos)) {
      logger.atInfo().log(
          "%s",
          LogEvent.named("gateway-seen")
              .with("vm", gateway.vm())
              .with("serving", gateway.serving()));
      schedule.respondWithin(GATEWAYS_DELAY);
    }
    boolean isForOtherBoot = call.getControlBoot() != bootId;
    if (isForOtherBoot || responses.hasNewStateFor(call) || needsAnswerAtOnce(call)) {
      return CompletableFuture.completedFuture(responses.build(call, nowNanos));
    }
    if (responses.hasNewerSuspects(call)) {
      schedule.respondWithin(SUSPECTS_DELAY);
    }
    return watches.add(
        call, stateIsCurrent.getAsBoolean() ? MAX_WATCH_WAIT : MAX_WATCH_WAIT_NOT_CURRENT);
  }

  /**
   * Returns whether a call names a state of upstreams that should not last until the next change. A
   * gateway that knows the fleet from other control VMs waits for the rest of a long table.
   */
  private boolean needsAnswerAtOnce(WatchCall call) {
    if (!call.getChangesOnly()) {
      return false;
    }
    return responses.needsFurtherAnswers(call)
        ? !call.getViewComplete()
        : responses.hasUrgentChangeFor(call);
  }
}
