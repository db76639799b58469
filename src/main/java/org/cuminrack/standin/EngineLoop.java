package org.cuminrack.standin;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;

/**
 * Runs an engine's steps in real time. The model and all mutable state are confined to one thread.
 */
final class EngineLoop implements ManagedService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final long SWEEP_INTERVAL_MILLIS = 1_000;

  private final EngineOptions options;
  private final EngineModel model;
  private final BehaviourHolder behaviour;
  private final Clock clock;
  private final Runnable crash;
  private final Map<String, GenerationLog> logsById = new HashMap<>();
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("engine"));
  private boolean stepping;
  private int startedCount;
  private int finishedCount;
  private int cancelledCount;
  private int maxInFlight;
  private int acceptedOverLimit;

  EngineLoop(EngineOptions options, BehaviourHolder behaviour, Clock clock, Runnable crash) {
    this.options = options;
    this.model =
        options.startsWarm()
            ? EngineModel.warm(options.profile())
            : EngineModel.cold(options.profile());
    this.behaviour = behaviour;
    this.clock = clock;
    this.crash = crash;
  }

  @Override
  public void start() {
    executor.scheduleWithFixedDelay(
        this::removeExpired, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    executor.shutdownNow();
  }

  /** Runs a task on the loop's thread and returns its result. */
  <T> CompletableFuture<T> call(Supplier<T> task) {
    return CompletableFuture.supplyAsync(task, executor);
  }

  /** Submits a generation; empty if the engine has no room. */
  CompletableFuture<Optional<GenerationLog>> submit(CompletionRequest request) {
    return call(() -> submitNow(request));
  }

  /** Returns a generation's event log; empty if it is unknown or its retention time has passed. */
  CompletableFuture<Optional<GenerationLog>> find(String generationId) {
    return call(() -> Optional.ofNullable(logsById.get(generationId)));
  }

  /** Cancels a generation and removes its event log. */
  CompletableFuture<Boolean> cancel(String generationId) {
    return call(() -> cancelNow(generationId));
  }

  /** Applies the faults of a behaviour that take effect only once. */
  void applyOneTimeFaults(Behaviour next) {
    executor.execute(() -> applyOneTimeFaultsNow(next));
  }

  /** Returns the engine's state as read on the loop's thread. */
  CompletableFuture<EngineState> state(boolean leaving, List<EngineCommand> commands) {
    return call(() -> stateNow(leaving, commands));
  }

  CompletableFuture<EngineLoad> load() {
    return call(model::load);
  }

  CompletableFuture<CacheChange> drainCacheChange() {
    return call(model::drainCacheChange);
  }

  /** Returns whether no generation is in flight and no stream is open. */
  CompletableFuture<Boolean> isIdle() {
    return call(
        () -> inFlight() == 0 && logsById.values().stream().noneMatch(GenerationLog::hasReaders));
  }

  private Optional<GenerationLog> submitNow(CompletionRequest request) {
    PromptBlocks blocks = PromptBlocks.of(request.prompt());
    String bootId = options.distinctPerBoot() ? options.bootId() : "";
    OutputText text = OutputText.of(request.prompt(), bootId);
    int requestedTokens =
        PromptMarkers.outputTokens(request.prompt()).orElseGet(() -> drawOutputTokens(request));
    boolean truncated = request.maxTokens() > 0 && request.maxTokens() < requestedTokens;
    int outputTokens = Math.max(1, truncated ? request.maxTokens() : requestedTokens);
    String id = options.bootId() + "-" + (startedCount + 1);
    GenerationRequest generation =
        new GenerationRequest(
            id,
            Math.max(1, blocks.tokens()),
            blocks.hashes(),
            outputTokens,
            truncated,
            request.schedulingPriority());
    int concurrencyLimit = model.concurrencyLimit();
    EngineModel.SubmitResult result = model.submit(generation);
    if (result == EngineModel.SubmitResult.NO_ROOM) {
      return Optional.empty();
    }
    startedCount++;
    maxInFlight = Math.max(maxInFlight, inFlight());
    acceptedOverLimit += inFlight() > concurrencyLimit ? 1 : 0;
    boolean poison = PromptMarkers.isPoison(request.prompt());
    GenerationLog log = new GenerationLog(id, text, poison, clock.nanoTime());
    logsById.put(id, log);
    if (result == EngineModel.SubmitResult.OVERLOADED) {
      reactToOverload(concurrencyLimit);
    }
    beginStep();
    return Optional.of(log);
  }

  private int drawOutputTokens(CompletionRequest request) {
    return options.outputLengths().draw(OutputText.of(request.prompt()).seed());
  }

  private void reactToOverload(int concurrencyLimit) {
    logger.atWarning().log(
        "%s",
        LogEvent.named("fell-over")
            .with("upstream", options.name())
            .with("in_flight", inFlight())
            .with("carries", concurrencyLimit));
    if (options.profile().overloadReaction() == OverloadReaction.CRASH) {
      crash.run();
    }
  }

  private void beginStep() {
    if (stepping || behaviour.current().hang()) {
      return;
    }
    OptionalLong nanos = model.beginStep();
    if (nanos.isEmpty()) {
      return;
    }
    stepping = true;
    long delay = Math.round(nanos.getAsLong() * behaviour.current().slowdown());
    executor.schedule(this::endStep, delay, TimeUnit.NANOSECONDS);
  }

  private void endStep() {
    stepping = false;
    for (EngineEvent event : model.endStep()) {
      GenerationLog log = logsById.get(event.generationId());
      if (log.isPoison()) {
        logger.atWarning().log("%s", LogEvent.named("poisoned").with("upstream", options.name()));
        crash.run();
        return;
      }
      log.append(event, clock.nanoTime());
      finishedCount += event.kind() == EngineEvent.Kind.TOKEN ? 0 : 1;
    }
    beginStep();
  }

  private void applyOneTimeFaultsNow(Behaviour next) {
    if (next.crash()) {
      crash.run();
    }
    if (next.cold()) {
      model.makeCold();
    }
    if (next.warm()) {
      model.makeWarm();
    }
    if (next.loseGenerations()) {
      List.copyOf(logsById.values()).forEach(this::loseGeneration);
    }
    beginStep();
  }

  private void loseGeneration(GenerationLog log) {
    model.cancel(log.id());
    log.markLost(clock.nanoTime());
  }

  private boolean cancelNow(String generationId) {
    GenerationLog log = logsById.remove(generationId);
    if (log == null) {
      return false;
    }
    cancelledCount += model.cancel(generationId) ? 1 : 0;
    log.markLost(clock.nanoTime());
    return true;
  }

  /**
   * Removes the logs of generations that ended longer ago than the retention time, and cancels
   * generations that have had no reader for that long.
   */
  private void removeExpired() {
    long cutoffNanos = clock.nanoTime() - RETENTION_NANOS;
    logsById.values().removeIf(each -> each.hasEndedBefore(cutoffNanos));
    List<GenerationLog> unread = new ArrayList<>(logsById.values());
    unread.removeIf(each -> !each.isUnreadSince(cutoffNanos));
    unread.forEach(each -> cancelNow(each.id()));
    beginStep();
  }

  private int inFlight() {
    EngineLoad load = model.load();
    return load.running() + load.waiting();
  }

  private EngineState stateNow(boolean leaving, List<EngineCommand> commands) {
    return new EngineState(
        options.name(),
        options.bootId(),
        model.load(),
        model.warmth(),
        model.concurrencyLimit(),
        inFlight(),
        maxInFlight,
        acceptedOverLimit,
        startedCount,
        finishedCount,
        cancelledCount,
        leaving,
        behaviour.current(),
        commands);
  }
}
