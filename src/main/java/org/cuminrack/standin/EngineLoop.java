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

/** Runs an engine's steps in real time. The model and all tables belong to its one thread. */
final class EngineLoop implements ManagedService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long KEEP_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final long SWEEP_MILLIS = 1_000;

  private final EngineOptions options;
  private final EngineModel model;
  private final BehaviourHolder behaviour;
  private final Clock clock;
  private final Runnable crash;
  private final Map<String, GenerationLog> logs = new HashMap<>();
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("engine"));
  private boolean stepping;
  private int started;
  private int finished;
  private int cancelled;
  private int maxInFlight;
  private int overCarried;

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
    thread.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    thread.shutdownNow();
  }

  /** Runs something on the loop's thread and returns its result. */
  <T> CompletableFuture<T> ask(Supplier<T> question) {
    return CompletableFuture.supplyAsync(question, thread);
  }

  /** Hands a generation to the engine; empty where it has no room. */
  CompletableFuture<Optional<GenerationLog>> submit(CompletionRequest request) {
    return ask(() -> submitNow(request));
  }

  /** Finds a generation that is still known. */
  CompletableFuture<Optional<GenerationLog>> find(String generationId) {
    return ask(() -> Optional.ofNullable(logs.get(generationId)));
  }

  /** Stops a generation and forgets it. */
  CompletableFuture<Boolean> cancel(String generationId) {
    return ask(() -> cancelNow(generationId));
  }

  /** Puts the parts of a behaviour in force that happen once. */
  void act(Behaviour once) {
    thread.execute(() -> actNow(once));
  }

  /** Returns what the engine shows of itself; reads on the loop's thread. */
  CompletableFuture<EngineState> state(boolean leaving, List<EngineOrder> orders) {
    return ask(() -> stateNow(leaving, orders));
  }

  CompletableFuture<EngineLoad> load() {
    return ask(model::load);
  }

  CompletableFuture<CacheChange> drainCacheChange() {
    return ask(model::drainCacheChange);
  }

  /** Tells whether nothing runs and nobody reads. */
  CompletableFuture<Boolean> isIdle() {
    return ask(
        () -> inFlight() == 0 && logs.values().stream().noneMatch(GenerationLog::isBeingRead));
  }

  private Optional<GenerationLog> submitNow(CompletionRequest request) {
    PromptBlocks blocks = PromptBlocks.of(request.prompt());
    String bootId = options.distinctPerBoot() ? options.bootId() : "";
    OutputText text = OutputText.of(request.prompt(), bootId);
    int wanted = PromptMarkers.outputTokens(request.prompt()).orElseGet(() -> draw(request));
    boolean truncated = request.maxTokens() > 0 && request.maxTokens() < wanted;
    int outputTokens = Math.max(1, truncated ? request.maxTokens() : wanted);
    String id = options.bootId() + "-" + (started + 1);
    GenerationRequest generation =
        new GenerationRequest(
            id,
            Math.max(1, blocks.tokens()),
            blocks.hashes(),
            outputTokens,
            truncated,
            request.urgency());
    int carried = model.carries();
    EngineModel.Verdict verdict = model.submit(generation);
    if (verdict == EngineModel.Verdict.NO_ROOM) {
      return Optional.empty();
    }
    started++;
    maxInFlight = Math.max(maxInFlight, inFlight());
    overCarried += inFlight() > carried ? 1 : 0;
    boolean poison = PromptMarkers.isPoison(request.prompt());
    GenerationLog log = new GenerationLog(id, text, poison, clock.nanoTime());
    logs.put(id, log);
    if (verdict == EngineModel.Verdict.FELL_OVER) {
      fallOver(carried);
    }
    beginStep();
    return Optional.of(log);
  }

  private int draw(CompletionRequest request) {
    return options.outputLengths().draw(OutputText.of(request.prompt()).seed());
  }

  private void fallOver(int carried) {
    logger.atWarning().log(
        "%s",
        LogEvent.named("fell-over")
            .with("upstream", options.name())
            .with("in_flight", inFlight())
            .with("carries", carried));
    if (options.profile().fallOver() == FallOver.CRASH) {
      crash.run();
    }
  }

  private void beginStep() {
    if (stepping || behaviour.now().hang()) {
      return;
    }
    OptionalLong nanos = model.beginStep();
    if (nanos.isEmpty()) {
      return;
    }
    stepping = true;
    long delay = Math.round(nanos.getAsLong() * behaviour.now().slowdown());
    thread.schedule(this::endStep, delay, TimeUnit.NANOSECONDS);
  }

  private void endStep() {
    stepping = false;
    for (EngineEvent event : model.endStep()) {
      GenerationLog log = logs.get(event.generationId());
      if (log.isPoison()) {
        logger.atWarning().log("%s", LogEvent.named("poisoned").with("upstream", options.name()));
        crash.run();
        return;
      }
      log.append(event, clock.nanoTime());
      finished += event.kind() == EngineEvent.Kind.TOKEN ? 0 : 1;
    }
    beginStep();
  }

  private void actNow(Behaviour once) {
    if (once.crash()) {
      crash.run();
    }
    if (once.cold()) {
      model.makeCold();
    }
    if (once.warm()) {
      model.makeWarm();
    }
    if (once.loseGenerations()) {
      List.copyOf(logs.values()).forEach(this::lose);
    }
    beginStep();
  }

  private void lose(GenerationLog log) {
    model.cancel(log.id());
    log.lose(clock.nanoTime());
  }

  private boolean cancelNow(String generationId) {
    GenerationLog log = logs.remove(generationId);
    if (log == null) {
      return false;
    }
    cancelled += model.cancel(generationId) ? 1 : 0;
    log.lose(clock.nanoTime());
    return true;
  }

  private void sweep() {
    long before = clock.nanoTime() - KEEP_NANOS;
    logs.values().removeIf(each -> each.endedBefore(before));
    List<GenerationLog> unread = new ArrayList<>(logs.values());
    unread.removeIf(each -> !each.unreadSince(before));
    unread.forEach(each -> cancelNow(each.id()));
    beginStep();
  }

  private int inFlight() {
    EngineLoad load = model.load();
    return load.running() + load.waiting();
  }

  private EngineState stateNow(boolean leaving, List<EngineOrder> orders) {
    return new EngineState(
        options.name(),
        options.bootId(),
        model.load(),
        model.warmth(),
        model.carries(),
        inFlight(),
        maxInFlight,
        overCarried,
        started,
        finished,
        cancelled,
        leaving,
        behaviour.now(),
        orders);
  }
}
