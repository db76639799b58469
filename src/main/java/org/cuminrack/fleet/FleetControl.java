package org.cuminrack.fleet;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cuminrack.control.ControlState;
import org.cuminrack.generated.control.RoutingData;
import org.cuminrack.generated.fleet.ShareCall;
import org.cuminrack.generated.fleet.WatchAnswer;
import org.cuminrack.generated.fleet.WatchCall;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireServer;

/**
 * A control VM's part in the fleet: takes announcements, shares them with the other control VMs and
 * tells gateways what is new. Announcements are not in the replicated log: upstreams repeat them,
 * and a table that merges by the newest needs no order between VMs.
 */
public final class FleetControl implements ManagedService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final byte[] NOTHING = {};

  /** How long a gateway's call is held while there is nothing new. */
  private static final Duration WATCH_HOLD = Duration.ofMillis(500);

  /** The same while this VM's state is not current; it soon will be. */
  private static final Duration WATCH_HOLD_NOT_CURRENT = Duration.ofMillis(50);

  /** How often renewals, which change no routing, are passed on to the other control VMs. */
  private static final Duration SHARE_INTERVAL = Duration.ofMillis(500);

  /** Upstreams wait a second for the acknowledgement of an announcement. */
  private static final Duration SHARE_TIMEOUT = Duration.ofMillis(700);

  private final UpstreamTable upstreams = new UpstreamTable();
  private final GatewayTable gateways = new GatewayTable();
  private final HeldCalls watches = new HeldCalls(this::answer);
  private final long boot = new SecureRandom().nextLong(1, Long.MAX_VALUE);
  private final ControlState state;
  private final WireClient wire;
  private final BooleanSupplier stateIsCurrent;
  private final Supplier<Set<String>> voterAddresses;
  private final String ownAddress;
  private final Clock clock;
  private ScheduledExecutorService worker;
  private long sharedChange;

  /**
   * Makes a service.
   *
   * @param stateIsCurrent whether the replicated state here is no older than its leader's term
   * @param voterAddresses wire addresses of the voters at this moment
   * @param ownAddress this VM's wire address
   */
  public FleetControl(
      ControlState state,
      WireClient wire,
      BooleanSupplier stateIsCurrent,
      Supplier<Set<String>> voterAddresses,
      String ownAddress,
      Clock clock) {
    this.state = state;
    this.wire = wire;
    this.stateIsCurrent = stateIsCurrent;
    this.voterAddresses = voterAddresses;
    this.ownAddress = ownAddress;
    this.clock = clock;
    state.onRoutingChange(watches::answerAll);
  }

  /** Serves this service's methods on a server; call before the server starts. */
  public void register(WireServer server) {
    server.serve(Method.WATCH_FLEET, this::watch);
    server.serve(Method.SHARE_UPSTREAMS, this::takeShared);
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
    worker.scheduleWithFixedDelay(this::shareOrLog, millis, millis, TimeUnit.MILLISECONDS);
  }

  @Override
  public synchronized void stop() {
    if (worker != null) {
      worker.shutdownNow();
      worker = null;
    }
  }

  /** Returns the gateways that live. */
  public List<GatewayRecord> gateways() {
    return gateways.live(clock.nanoTime());
  }

  /** Returns the newest announcement of an upstream's id. */
  public Optional<UpstreamRecord> upstream(String id) {
    return upstreams.find(id);
  }

  /** Returns every upstream, for the dump. */
  public List<UpstreamRecord> upstreams() {
    return upstreams.all();
  }

  /**
   * Takes an announcement in. Completes with true once it may be acknowledged: what changes routing
   * is known to a second control VM then, so that the loss of this one takes nothing back.
   */
  public CompletableFuture<Boolean> announce(UpstreamRecord announced) {
    UpstreamChange change = upstreams.merge(announced);
    if (change != UpstreamChange.MOVED) {
      return CompletableFuture.completedFuture(true);
    }
    logMoved(announced, "announcement");
    watches.answerAll();
    return shareWithAnother(announced);
  }

  private CompletableFuture<Boolean> shareWithAnother(UpstreamRecord announced) {
    Set<String> others = others();
    if (others.isEmpty()) {
      return CompletableFuture.completedFuture(true);
    }
    CompletableFuture<Boolean> shared = new CompletableFuture<>();
    byte[] payload = shareCall(List.of(announced));
    List<CompletableFuture<?>> calls = new ArrayList<>();
    for (String address : others) {
      calls.add(
          wire.call(address, Method.SHARE_UPSTREAMS, payload, SHARE_TIMEOUT)
              .thenAccept(
                  outcome -> {
                    if (outcome.isRight()) {
                      shared.complete(true);
                    }
                  }));
    }
    CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
        .whenComplete((done, failure) -> shared.complete(false));
    return shared;
  }

  private Set<String> others() {
    Set<String> others = new TreeSet<>(voterAddresses.get());
    others.remove(ownAddress);
    return others;
  }

  private byte[] shareCall(List<UpstreamRecord> records) {
    long nowNanos = clock.nanoTime();
    ShareCall.Builder call = ShareCall.newBuilder();
    records.forEach(each -> call.addUpstreams(FleetCodec.data(each, nowNanos)));
    return call.build().toByteArray();
  }

  private CompletableFuture<byte[]> takeShared(byte[] payload) {
    long nowNanos = clock.nanoTime();
    boolean moved = false;
    try {
      for (var data : ShareCall.parseFrom(payload).getUpstreamsList()) {
        UpstreamRecord shared = FleetCodec.upstream(data, nowNanos);
        if (upstreams.merge(shared) == UpstreamChange.MOVED) {
          logMoved(shared, "control");
          moved = true;
        }
      }
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
    if (moved) {
      watches.answerAll();
    }
    return CompletableFuture.completedFuture(NOTHING);
  }

  private static void logMoved(UpstreamRecord upstream, String source) {
    logger.atInfo().log(
        "%s",
        LogEvent.named("upstream-moved")
            .with("upstream", upstream.id())
            .with("service", upstream.service())
            .with("address", upstream.address())
            .with("phase", upstream.phase())
            .with("born_millis", upstream.bornMillis())
            .with("sequence", upstream.sequence())
            .with("source", source));
  }

  private void shareOrLog() {
    try {
      shareRenewals();
      upstreams.forgetSilent(clock.nanoTime());
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("%s", LogEvent.named("fleet-share-failed"));
    }
  }

  private void shareRenewals() {
    long change = upstreams.lastChange();
    List<UpstreamRecord> changed = upstreams.changesAfter(sharedChange);
    sharedChange = change;
    if (changed.isEmpty()) {
      return;
    }
    byte[] payload = shareCall(changed);
    others().forEach(each -> wire.call(each, Method.SHARE_UPSTREAMS, payload, SHARE_TIMEOUT));
  }

  CompletableFuture<byte[]> watch(byte[] payload) {
    WatchCall call;
    try {
      call = WatchCall.parseFrom(payload);
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
    GatewayRecord gateway = FleetCodec.gateway(call.getGateway());
    boolean isNews = gateways.note(gateway, clock.nanoTime());
    if (isNews) {
      logger.atInfo().log(
          "%s",
          LogEvent.named("gateway-seen")
              .with("vm", gateway.vm())
              .with("serving", gateway.serving()));
      watches.answerAll();
    }
    boolean isFirst = call.getControlBoot() != boot;
    if (isFirst || hasNews(call)) {
      return CompletableFuture.completedFuture(answer(call));
    }
    return hold(call);
  }

  /** A gateway serves once a quorum has told it that it is current, so that is news as well. */
  private boolean hasNews(WatchCall call) {
    boolean hasNewer = state.routing().getRevision() > call.getRoutingRevision();
    return stateIsCurrent.getAsBoolean() && (hasNewer || !call.getKnownCurrent());
  }

  private CompletableFuture<byte[]> hold(WatchCall call) {
    ScheduledExecutorService timer;
    synchronized (this) {
      timer = worker;
    }
    if (timer == null) {
      return CompletableFuture.completedFuture(answer(call));
    }
    Duration most = stateIsCurrent.getAsBoolean() ? WATCH_HOLD : WATCH_HOLD_NOT_CURRENT;
    return watches.hold(call, most, timer);
  }

  private byte[] answer(WatchCall call) {
    long nowNanos = clock.nanoTime();
    long after = call.getControlBoot() == boot ? call.getUpstreamChange() : 0;
    WatchAnswer.Builder answer =
        WatchAnswer.newBuilder().setControlBoot(boot).setUpstreamChange(upstreams.lastChange());
    upstreams
        .changesAfter(after)
        .forEach(each -> answer.addUpstreams(FleetCodec.data(each, nowNanos)));
    gateways.live(nowNanos).forEach(each -> answer.addGateways(FleetCodec.data(each)));
    answer.addAllControlAddresses(voterAddresses.get());
    if (stateIsCurrent.getAsBoolean()) {
      answer.setStateCurrent(true);
      RoutingData routing = state.routing();
      if (routing.getRevision() > call.getRoutingRevision()) {
        answer.setRouting(routing);
      }
    }
    return answer.build().toByteArray();
  }
}
