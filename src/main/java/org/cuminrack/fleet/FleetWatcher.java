package org.cuminrack.fleet;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cuminrack.generated.fleet.WatchAnswer;
import org.cuminrack.generated.fleet.WatchCall;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireFailure;

/**
 * Keeps a gateway's view fresh: asks every control VM all the time, so that the loss or the cut of
 * some of them costs no freshness. Control VMs are found from the seeds and named by each other.
 */
public final class FleetWatcher implements ManagedService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longer than control holds a call. */
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(1500);

  private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(150);

  private static final Executor AFTER_PAUSE =
      CompletableFuture.delayedExecutor(PAUSE_AFTER_FAILURE.toMillis(), TimeUnit.MILLISECONDS);

  /** How long a control VM that nobody names any more is asked in vain. */
  private static final Duration FORGET_AFTER = Duration.ofSeconds(10);

  private final FleetView view;
  private final WireClient wire;
  private final Supplier<GatewayRecord> self;
  private final Clock clock;
  private final Map<String, Link> links = new ConcurrentHashMap<>();
  private volatile Set<String> seeds;
  private volatile Set<String> named = Set.of();
  private volatile boolean stopped;

  /**
   * Makes a watcher.
   *
   * @param seeds wire addresses of some control VMs
   * @param self what the gateway says of itself with each call
   */
  public FleetWatcher(
      FleetView view,
      WireClient wire,
      Set<String> seeds,
      Supplier<GatewayRecord> self,
      Clock clock) {
    this.view = view;
    this.wire = wire;
    this.seeds = Set.copyOf(seeds);
    this.self = self;
    this.clock = clock;
  }

  @Override
  public void start() {
    seeds.forEach(this::watch);
  }

  /** Takes other seeds, as after a change of the settings. */
  public void useSeeds(Set<String> newSeeds) {
    seeds = Set.copyOf(newSeeds);
    seeds.forEach(this::watch);
  }

  /** Tells control at once what the gateway now says of itself. */
  public void announceSelf() {
    links.values().forEach(link -> call(link, false));
  }

  /** Returns each control VM's address and whether its last call was answered, for the dump. */
  public Map<String, Boolean> controlVms() {
    Map<String, Boolean> answered = new TreeMap<>();
    links.forEach((address, link) -> answered.put(address, link.answered));
    return answered;
  }

  @Override
  public void stop() {
    stopped = true;
  }

  private void watch(String address) {
    Link link = new Link(address, clock.nanoTime());
    if (links.putIfAbsent(address, link) == null) {
      call(link, true);
    }
  }

  private void call(Link link, boolean again) {
    if (stopped) {
      return;
    }
    WatchCall call =
        WatchCall.newBuilder()
            .setGateway(FleetCodec.data(self.get()))
            .setControlBoot(link.boot)
            .setUpstreamChange(link.change)
            .setRoutingRevision(view.routingRevision())
            .setKnownCurrent(link.current)
            .build();
    wire.call(link.address, Method.WATCH_FLEET, call.toByteArray(), CALL_TIMEOUT)
        .whenComplete(
            (outcome, failure) -> {
              boolean taken = failure == null && take(link, outcome);
              if (again) {
                next(link, taken);
              }
            });
  }

  private void next(Link link, boolean taken) {
    if (taken) {
      call(link, true);
    } else if (isForgotten(link)) {
      links.remove(link.address);
    } else {
      AFTER_PAUSE.execute(() -> call(link, true));
    }
  }

  private boolean isForgotten(Link link) {
    boolean wanted = seeds.contains(link.address) || named.contains(link.address);
    return !wanted && clock.nanoTime() - link.answeredNanos > FORGET_AFTER.toNanos();
  }

  private boolean take(Link link, Either<WireFailure, byte[]> outcome) {
    if (outcome.isLeft()) {
      if (link.answered) {
        link.answered = false;
        logger.atWarning().log(
            "%s",
            LogEvent.named("control-lost")
                .with("control", link.address)
                .with("detail", outcome.getLeft()));
      }
      return false;
    }
    WatchAnswer answer;
    try {
      answer = WatchAnswer.parseFrom(outcome.get());
    } catch (InvalidProtocolBufferException e) {
      logger.atWarning().withCause(e).log(
          "%s", LogEvent.named("control-unreadable").with("control", link.address));
      return false;
    }
    link.noteAnswer(answer, clock.nanoTime());
    apply(answer);
    if (answer.getStateCurrent()) {
      link.current = true;
      countCurrent();
    }
    return true;
  }

  /** A quorum of control VMs together knows every change; one alone may have been cut off. */
  private void countCurrent() {
    long current = links.values().stream().filter(link -> link.current).count();
    if (current > Math.max(named.size(), seeds.size()) / 2) {
      view.complete(clock.nanoTime());
    }
  }

  private void apply(WatchAnswer answer) {
    long nowNanos = clock.nanoTime();
    if (answer.hasRouting()) {
      view.take(answer.getRouting());
    }
    view.take(
        answer.getUpstreamsList().stream()
            .map(each -> FleetCodec.upstream(each, nowNanos))
            .toList(),
        answer.getGatewaysList().stream().map(FleetCodec::gateway).toList());
    if (answer.getControlAddressesCount() > 0) {
      named = Set.copyOf(answer.getControlAddressesList());
      named.forEach(this::watch);
    }
  }

  /** How far one control VM has told this gateway. */
  private static final class Link {
    private final String address;
    private volatile long boot;
    private volatile long change;
    private volatile boolean answered;
    private volatile boolean current;
    private volatile long answeredNanos;

    Link(String address, long nowNanos) {
      this.address = address;
      this.answeredNanos = nowNanos;
    }

    void noteAnswer(WatchAnswer answer, long nowNanos) {
      if (!answered) {
        logger.atInfo().log("%s", LogEvent.named("control-found").with("control", address));
      }
      boot = answer.getControlBoot();
      change = answer.getUpstreamChange();
      answered = true;
      answeredNanos = nowNanos;
    }
  }
}
