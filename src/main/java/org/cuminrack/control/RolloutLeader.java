package org.cuminrack.control;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.cuminrack.generated.rollout.HaltRollout;
import org.cuminrack.generated.rollout.RolloutFigures;
import org.cuminrack.generated.rollout.RolloutReport;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.lifecycle.ServiceThreads;
import org.cuminrack.log.LogEvent;
import org.cuminrack.quorum.ReplicatedLog;
import org.cuminrack.rollout.RolloutStep;
import org.cuminrack.rollout.VersionCapacity;
import org.cuminrack.rollout.VersionRollout;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireServer;

/**
 * Decides, on the leader, on the roll-outs that run. The evidence is in memory only: gateways
 * report totals, so a new leader has all of it after one report of each. Thread-safe: one lock.
 */
public final class RolloutLeader implements ManagedService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration INTERVAL = Duration.ofMillis(250);
  private static final byte[] EMPTY = {};

  private final ReplicatedLog log;
  private final RolloutControl control;
  private final Function<VersionRollout, VersionCapacity> capacity;
  private final Clock clock;
  private final Map<Long, RolloutWatch> watches = new HashMap<>();
  private ScheduledExecutorService worker;

  /**
   * Creates a service.
   *
   * @param capacity returns the upstreams of a roll-out's service
   */
  public RolloutLeader(
      ReplicatedLog log,
      RolloutControl control,
      Function<VersionRollout, VersionCapacity> capacity,
      Clock clock) {
    this.log = log;
    this.control = control;
    this.capacity = capacity;
    this.clock = clock;
  }

  /** Registers this service's methods with a server; call before the server starts. */
  public void register(WireServer server) {
    server.serve(Method.REPORT_ROLLOUT, this::receive);
    server.serve(Method.HALT_ROLLOUT, this::halt);
  }

  @Override
  public synchronized void start() {
    worker = ServiceThreads.scheduler("rollout-leader");
    worker.scheduleWithFixedDelay(
        this::tickLoggingFailures, INTERVAL.toMillis(), INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public synchronized void stop() {
    if (worker != null) {
      worker.shutdownNow();
      worker = null;
    }
  }

  CompletableFuture<byte[]> receive(byte[] payload) {
    if (!log.isLeader()) {
      return CompletableFuture.completedFuture(Replies.notLeader(log.leader()));
    }
    RolloutReport report;
    try {
      report = RolloutReport.parseFrom(payload);
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
    String gateway = report.getVm() + "/" + report.getBoot();
    synchronized (this) {
      for (RolloutFigures figures : report.getRolloutsList()) {
        RolloutWatch watch = watches.get(figures.getId());
        if (watch != null) {
          watch.record(gateway, figures);
        }
      }
    }
    return CompletableFuture.completedFuture(Replies.ok(EMPTY));
  }

  /** Rolls back the running roll-out of a service; refused if there is none. */
  CompletableFuture<byte[]> halt(byte[] payload) {
    if (!log.isLeader()) {
      return CompletableFuture.completedFuture(Replies.notLeader(log.leader()));
    }
    String service;
    try {
      service = HaltRollout.parseFrom(payload).getService();
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
    Optional<VersionRollout> running =
        control.applied().stream()
            .filter(rollout -> rollout.service().equals(service) && rollout.stage().isRunning())
            .findFirst();
    if (running.isEmpty()) {
      return CompletableFuture.completedFuture(
          Replies.refused("service: expected one that is rolled out, found " + service));
    }
    return control
        .advance(running.get(), RolloutStep.halt())
        .thenApply(outcome -> outcome.fold(Replies::of, applied -> Replies.ok(EMPTY)));
  }

  private void tickLoggingFailures() {
    try {
      tick();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("%s", LogEvent.named("rollout-tick-failed"));
    }
  }

  /** Proposes the steps that are due; on a VM that does not lead, only notes the time. */
  synchronized void tick() {
    long nowNanos = clock.nanoTime();
    Optional<Long> leaderMillis = control.leaderMillis();
    Map<Long, VersionRollout> running = new HashMap<>();
    control.applied().stream()
        .filter(rollout -> rollout.stage().isRunning())
        .forEach(rollout -> running.put(rollout.id(), rollout));
    watches.keySet().retainAll(running.keySet());
    for (VersionRollout rollout : running.values()) {
      RolloutWatch watch = watches.computeIfAbsent(rollout.id(), id -> new RolloutWatch(nowNanos));
      if (leaderMillis.isEmpty()) {
        watch.endTerm();
      } else {
        watch
            .next(rollout, leaderMillis.get(), nowNanos, capacity.apply(rollout))
            .ifPresent(step -> advance(rollout, watch, step));
      }
    }
  }

  private void advance(VersionRollout rollout, RolloutWatch watch, RolloutStep step) {
    watch.setProposing(true);
    control
        .advance(rollout, step)
        .whenComplete(
            (outcome, failure) -> {
              String evidence;
              synchronized (this) {
                watch.setProposing(false);
                evidence = watch.toString();
              }
              logger.atInfo().log(
                  "%s",
                  LogEvent.named("rollout-step")
                      .with("service", rollout.service())
                      .with("to", rollout.to())
                      .with("stage", step.stage())
                      .with("share", step.share())
                      .with("upstreams", step.upstreams())
                      .with("evidence", evidence)
                      .with("reason", step.reason())
                      .with("committed", failure == null && outcome.isRight()));
            });
  }
}
