package org.cuminrack.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * The scheduler and memory of one engine: continuous batching, preemption by recomputation, prefix
 * cache, priorities and cold start. Has no clock: time advances only with the steps that the caller
 * runs. Not thread-safe.
 *
 * <pre>{@code
 * OptionalLong nanos = model.beginStep(); // empty: no work
 * // … after that time
 * List<EngineEvent> events = model.endStep();
 * }</pre>
 */
public final class EngineModel {
  private static final long NANOS_PER_MICRO = 1_000;
  private static final int RESERVE_BLOCKS_PERCENT = 1;

  private final EngineProfile profile;
  private final KeyValueMemory memory;
  private final Warmth warmth;
  private final TreeSet<EngineSequence> waiting = new TreeSet<>(EngineSequence::comparePriority);
  private final TreeSet<EngineSequence> running = new TreeSet<>(EngineSequence::comparePriority);
  private long nextArrivalNumber;
  private long firstArrivalSinceCold;
  private long preemptions;
  private boolean overloaded;
  private long stepNanos;

  private EngineModel(EngineProfile profile, boolean warm) {
    this.profile = profile;
    this.memory = new KeyValueMemory(profile.memoryTokens() / EngineProfile.BLOCK_TOKENS);
    this.warmth = new Warmth(profile, warm);
  }

  /** Returns a cold engine, as right after its start. */
  public static EngineModel cold(EngineProfile profile) {
    return new EngineModel(profile, false);
  }

  /** Returns an engine that is fully warmed up. */
  public static EngineModel warm(EngineProfile profile) {
    return new EngineModel(profile, true);
  }

  /** The result of submitting a generation. */
  public enum SubmitResult {
    /** It is queued or running. */
    ACCEPTED,
    /** The queue is full, or the generation can never fit in memory. */
    NO_ROOM,
    /** It exceeded the concurrency limit of an engine that is not warm, and the engine failed. */
    OVERLOADED
  }

  /** Submits a generation. */
  public SubmitResult submit(GenerationRequest request) {
    if (waiting.size() >= profile.maxWaiting() || !fitsMemory(request)) {
      return SubmitResult.NO_ROOM;
    }
    waiting.add(new EngineSequence(request, nextArrivalNumber++));
    if (warmth.isWarm() || inFlightSinceCold() <= warmth.concurrencyLimit()) {
      return SubmitResult.ACCEPTED;
    }
    if (profile.overloadReaction() == OverloadReaction.NONE) {
      return SubmitResult.ACCEPTED;
    }
    overloaded = true;
    return SubmitResult.OVERLOADED;
  }

  /** Removes a generation; returns false if it is unknown. */
  public boolean cancel(String generationId) {
    EngineSequence found = find(running, generationId);
    if (found != null) {
      running.remove(found);
      found.releaseMemory(memory);
      return true;
    }
    found = find(waiting, generationId);
    return found != null && waiting.remove(found);
  }

  /** Plans a step and returns its duration; empty if there is no work. */
  public OptionalLong beginStep() {
    if (overloaded) {
      return OptionalLong.empty();
    }
    admitWaiting();
    if (running.isEmpty()) {
      return OptionalLong.empty();
    }
    int decoding = scheduleDecodes();
    int prefilled = schedulePrefills();
    double micros = profile.stepBaseMicros();
    micros += (double) decoding * profile.stepPerSequenceMicros();
    micros += (double) prefilled * profile.stepPerPrefillTokenMicros();
    stepNanos = Math.round(micros * NANOS_PER_MICRO * warmth.slowFactor());
    return OptionalLong.of(stepNanos);
  }

  /** Completes the planned step and returns its events. */
  public List<EngineEvent> endStep() {
    if (overloaded) {
      return List.of();
    }
    warmth.addBusyNanos(stepNanos);
    List<EngineEvent> events = new ArrayList<>();
    for (EngineSequence each : List.copyOf(running)) {
      boolean emitsToken = each.emitsToken();
      each.computeScheduled(memory);
      if (emitsToken) {
        addEvents(each, events);
      }
      each.unschedule();
    }
    return events;
  }

  /** Returns the current load. */
  public EngineLoad load() {
    int usedTokens = memory.usedBlocks() * EngineProfile.BLOCK_TOKENS;
    return new EngineLoad(running.size(), waiting.size(), usedTokens, preemptions);
  }

  /** Returns the changes to the prefix cache since the last call. */
  public CacheChange drainCacheChange() {
    return memory.drainChange();
  }

  /** Returns the warm-up progress, from 0 (just started) to 1 (warm). */
  public double warmth() {
    return warmth.progress();
  }

  /** Returns how many concurrent requests the engine can currently handle. */
  public int concurrencyLimit() {
    return warmth.concurrencyLimit();
  }

  /** Returns whether the engine failed from overload. */
  public boolean isOverloaded() {
    return overloaded;
  }

  /**
   * Resets the engine to its cold state. Generations in flight continue and do not count against
   * the lower concurrency limit.
   */
  public void makeCold() {
    firstArrivalSinceCold = nextArrivalNumber;
    warmth.makeCold();
    memory.clearCache();
  }

  /** Makes the engine warm immediately. */
  public void makeWarm() {
    warmth.makeWarm();
  }

  private long inFlightSinceCold() {
    return Stream.concat(running.stream(), waiting.stream())
        .filter(each -> each.arrivalNumber() >= firstArrivalSinceCold)
        .count();
  }

  private void admitWaiting() {
    int reserve = memory.totalBlocks() * RESERVE_BLOCKS_PERCENT / 100;
    while (!waiting.isEmpty() && running.size() < profile.maxRunning()) {
      EngineSequence next = waiting.first();
      if (!next.allocateMemory(memory, running.isEmpty() ? 0 : reserve)) {
        return;
      }
      waiting.remove(next);
      running.add(next);
    }
  }

  private int scheduleDecodes() {
    int decoding = 0;
    for (EngineSequence each : List.copyOf(running)) {
      if (!running.contains(each) || each.isPrefilling()) {
        continue;
      }
      if (scheduleDecode(each)) {
        decoding++;
      }
    }
    return decoding;
  }

  private boolean scheduleDecode(EngineSequence sequence) {
    while (!sequence.scheduleDecode(memory)) {
      EngineSequence victim = running.last();
      preempt(victim);
      if (victim.equals(sequence)) {
        return false;
      }
    }
    return true;
  }

  private void preempt(EngineSequence victim) {
    running.remove(victim);
    victim.releaseMemory(memory);
    waiting.add(victim);
    preemptions++;
  }

  private int schedulePrefills() {
    int budget = profile.prefillChunkTokens();
    for (EngineSequence each : running) {
      if (each.isPrefilling()) {
        budget -= each.schedulePrefill(budget);
      }
    }
    return profile.prefillChunkTokens() - budget;
  }

  private void addEvents(EngineSequence sequence, List<EngineEvent> events) {
    String id = sequence.request().id();
    events.add(new EngineEvent(id, sequence.producedTokens() - 1, EngineEvent.Kind.TOKEN));
    if (!sequence.isDone()) {
      return;
    }
    boolean truncated = sequence.request().truncated();
    EngineEvent.Kind end = truncated ? EngineEvent.Kind.LENGTH : EngineEvent.Kind.STOP;
    events.add(new EngineEvent(id, sequence.producedTokens(), end));
    running.remove(sequence);
    sequence.releaseMemory(memory);
    warmth.addCompletion();
  }

  private boolean fitsMemory(GenerationRequest request) {
    int tokens = request.promptTokens() + request.outputTokens() + EngineProfile.BLOCK_TOKENS;
    return tokens <= memory.totalBlocks() * EngineProfile.BLOCK_TOKENS;
  }

  private static EngineSequence find(Set<EngineSequence> sequences, String generationId) {
    return sequences.stream()
        .filter(each -> each.request().id().equals(generationId))
        .findFirst()
        .orElse(null);
  }
}
