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
import java.util.stream.Collectors;
import org.cuminrack.generated.fleet.WatchAnswer;
import org.cuminrack.generated.fleet.WatchCall;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireFailure;

/**
 * Keeps a gateway's view up to date by a continuous long poll to every control VM, so that losing
 * some of them causes no delay. Control VMs are discovered from the seeds and from the addresses of
 * voters and learners in their responses. Learners do not count for the quorum, but serve callers'
 * look-ups, for which they need the gateways' calls.
 */
public final class FleetWatcher implements ManagedService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longer than a control VM waits for a change before it answers a call. */
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(1500);

  private static final Duration RETRY_DELAY = Duration.ofMillis(150);

  private static final Executor DELAYED_EXECUTOR =
      CompletableFuture.delayedExecutor(RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);

  /**
   * How long to keep polling an unresponsive control VM that is neither a seed nor a listed voter.
   */
  private static final Duration ABANDON_AFTER = Duration.ofSeconds(10);

  private final FleetView view;
  private final WatchCalls calls;
  private final Executor delayedExecutor;
  private final PolledFleet fleet;
  private final Supplier<GatewayRecord> self;
  private final Supplier<GatewayLoad> load;
  private final Clock clock;
  private final Map<String, ControlPoll> polls = new ConcurrentHashMap<>();
  private volatile Set<String> seeds;
  private volatile NamedVoters voters = NamedVoters.NONE;
  private volatile boolean stopped;

  /**
   * Creates a watcher.
   *
   * @param seeds wire addresses of some control VMs
   * @param self supplies this gateway's record, sent with each call
   * @param load supplies what is sent of this gateway's size and use
   */
  public FleetWatcher(
      FleetView view,
      WireClient wire,
      Set<String> seeds,
      Supplier<GatewayRecord> self,
      Supplier<GatewayLoad> load,
      Clock clock) {
    this(
        view,
        (address, call) -> wire.call(address, Method.WATCH_FLEET, call.toByteArray(), CALL_TIMEOUT),
        seeds,
        self,
        load,
        DELAYED_EXECUTOR,
        clock);
  }

  FleetWatcher(
      FleetView view,
      WatchCalls calls,
      Set<String> seeds,
      Supplier<GatewayRecord> self,
      Supplier<GatewayLoad> load,
      Executor delayedExecutor,
      Clock clock) {
    this.view = view;
    this.calls = calls;
    this.delayedExecutor = delayedExecutor;
    this.fleet = new PolledFleet(view);
    this.seeds = Set.copyOf(seeds);
    this.self = self;
    this.load = load;
    this.clock = clock;
  }

  @Override
  public void start() {
    seeds.forEach(this::watch);
  }

  /** Replaces the seeds, for example after a reload of the settings. */
  public void replaceSeeds(Set<String> newSeeds) {
    seeds = Set.copyOf(newSeeds);
    seeds.forEach(this::watch);
  }

  /** Sends this gateway's current record to all control VMs immediately. */
  public void announceSelf() {
    polls.values().forEach(poll -> call(poll, false));
  }

  /** Returns the wire addresses of the control VMs, by VM name; a VM is named by its host. */
  public Map<String, String> controlAddresses() {
    Set<String> addresses = voters.addresses().isEmpty() ? seeds : voters.addresses();
    return addresses.stream()
        .collect(
            Collectors.toMap(
                address -> address.substring(0, address.lastIndexOf(':')),
                address -> address,
                (first, second) -> first));
  }

  /** Returns the wire addresses of the voters; empty until an answer names them. */
  Set<String> voterAddresses() {
    return voters.addresses();
  }

  /** Returns, by control VM address, whether the last call was answered, for the dump. */
  public Map<String, Boolean> answeredByAddress() {
    Map<String, Boolean> answered = new TreeMap<>();
    polls.forEach((address, poll) -> answered.put(address, poll.answered));
    return answered;
  }

  @Override
  public void stop() {
    stopped = true;
  }

  private void watch(String address) {
    ControlPoll poll = new ControlPoll(address, clock.nanoTime());
    if (polls.putIfAbsent(address, poll) == null) {
      call(poll, true);
    }
  }

  /** Calls a control VM; a call or an answer that fails here must not end the polling of it. */
  private void call(ControlPoll poll, boolean repeat) {
    if (stopped) {
      return;
    }
    try {
      send(poll, repeat);
    } catch (RuntimeException e) {
      logFailure(poll, e);
      if (repeat) {
        delayedExecutor.execute(() -> call(poll, true));
      }
    }
  }

  private static void logFailure(ControlPoll poll, RuntimeException cause) {
    logger.atSevere().withCause(cause).log(
        "%s", LogEvent.named("control-watch-failed").with("control", poll.address));
  }

  private void send(ControlPoll poll, boolean repeat) {
    WatchCall.Builder call =
        WatchCall.newBuilder()
            .setGateway(FleetCodec.data(self.get()))
            .setSuspectsRevision(view.suspects().revision())
            .setRoutingRevision(view.routingRevision())
            .setViewComplete(view.isComplete());
    FleetCodec.addLoad(call, load.get());
    poll.describe(call);
    long calledNanos = clock.nanoTime();
    calls
        .call(poll.address, call.build())
        .whenComplete(
            (outcome, failure) -> {
              boolean succeeded = failure == null && handleOutcomeOrLog(poll, outcome, calledNanos);
              if (repeat) {
                continuePolling(poll, succeeded);
              }
            });
  }

  private void continuePolling(ControlPoll poll, boolean succeeded) {
    if (succeeded) {
      call(poll, true);
    } else if (shouldAbandon(poll)) {
      polls.remove(poll.address);
    } else {
      delayedExecutor.execute(() -> call(poll, true));
    }
  }

  private boolean shouldAbandon(ControlPoll poll) {
    return !isSeedOrVoter(poll)
        && clock.nanoTime() - poll.lastResponseNanos > ABANDON_AFTER.toNanos();
  }

  private boolean isSeedOrVoter(ControlPoll poll) {
    return seeds.contains(poll.address) || voters.addresses().contains(poll.address);
  }

  private boolean handleOutcomeOrLog(
      ControlPoll poll, Either<WireFailure, byte[]> outcome, long calledNanos) {
    try {
      return handleOutcome(poll, outcome, calledNanos);
    } catch (RuntimeException e) {
      logFailure(poll, e);
      return false;
    }
  }

  private boolean handleOutcome(
      ControlPoll poll, Either<WireFailure, byte[]> outcome, long calledNanos) {
    if (outcome.isLeft()) {
      if (poll.answered) {
        poll.answered = false;
        logger.atWarning().log(
            "%s",
            LogEvent.named("control-lost")
                .with("control", poll.address)
                .with("detail", outcome.getLeft()));
      }
      return false;
    }
    WatchAnswer response;
    try {
      response = WatchAnswer.parseFrom(outcome.get());
    } catch (InvalidProtocolBufferException e) {
      logger.atWarning().withCause(e).log(
          "%s", LogEvent.named("control-unreadable").with("control", poll.address));
      return false;
    }
    long nowNanos = clock.nanoTime();
    boolean gatewaysChanged = poll.recordResponse(response, calledNanos, nowNanos);
    adoptNewestVoters(poll);
    response.getOtherControlAddressesList().forEach(this::watch);
    fleet.apply(response, nowNanos);
    fleet.updateGateways(pollsTellingGateways(), gatewaysChanged);
    boolean announcementsChanged =
        response.getUpstreamsCount() + response.getLateUpstreamsCount() > 0;
    fleet.updateAnnouncementTimes(polls.values(), announcementsChanged, nowNanos);
    completeOnQuorum();
    return true;
  }

  /**
   * Marks the view complete once a majority of the voters has reported a current state. A majority
   * together has seen every change, whereas a single VM may be partitioned. The seeds count until
   * an answer names voters.
   */
  private void completeOnQuorum() {
    Set<String> counted = voters.addresses().isEmpty() ? seeds : voters.addresses();
    long currentVmCount =
        polls.values().stream()
            .filter(poll -> poll.stateCurrent && counted.contains(poll.address))
            .count();
    if (currentVmCount > counted.size() / 2) {
      view.markComplete(clock.nanoTime());
    }
  }

  /**
   * Returns the polls whose gateways count; those that a learner lacks may not have found it yet.
   */
  private Set<ControlPoll> pollsTellingGateways() {
    return polls.values().stream()
        .filter(poll -> poll.answered && isSeedOrVoter(poll))
        .collect(Collectors.toSet());
  }

  /**
   * Adopts the newest voters that a control VM has named lately; among equally new ones, those of
   * the last answer. A VM that is cut off may name former voters.
   */
  private synchronized void adoptNewestVoters(ControlPoll lastAnswered) {
    long nowNanos = clock.nanoTime();
    NamedVoters newest = lastAnswered.namedVoters;
    for (ControlPoll poll : polls.values()) {
      boolean isRecent = nowNanos - poll.lastResponseNanos <= ABANDON_AFTER.toNanos();
      if (isRecent && poll.namedVoters.isNewerThan(newest)) {
        newest = poll.namedVoters;
      }
    }
    if (!newest.addresses().isEmpty()) {
      voters = newest;
      newest.addresses().forEach(this::watch);
    }
  }
}
