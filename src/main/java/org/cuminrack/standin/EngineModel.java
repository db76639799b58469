package org.cuminrack.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * The scheduler and memory of one engine: continuous batching, preemption by recomputation, prefix
 * cache, priorities and cold start. Pure: time passes only as its driver runs the steps. Not safe
 * for use by many threads.
 *
 * <pre>{@code
 * OptionalLong nanos = model.beginStep(); // empty: nothing to do
 * // … that long later
 * List<EngineEvent> events = model.endStep();
 * }</pre>
 */
public final class EngineModel {
  private static final long NANOS_PER_MICRO = 1_000;
  private static final int RESERVE_BLOCKS_PERCENT = 1;

  private final EngineProfile profile;
  private final KeyValueMemory memory;
  private final Warmth warmth;
  private final TreeSet<EngineSequence> waiting = new TreeSet<>(EngineSequence::compareUrgency);
  private final TreeSet<EngineSequence> running = new TreeSet<>(EngineSequence::compareUrgency);
  private long arrivals;
  private long coldSinceArrival;
  private long preemptions;
  private boolean fallen;
  private long stepNanos;

  private EngineModel(EngineProfile profile, boolean warm) {
    this.profile = profile;
    this.memory = new KeyValueMemory(profile.memoryTokens() / EngineProfile.BLOCK_TOKENS);
    this.warmth = new Warmth(profile, warm);
  }

  /** Returns an engine that has just started. */
  public static EngineModel cold(EngineProfile profile) {
    return new EngineModel(profile, false);
  }

  /** Returns an engine that has worked long enough to be warm. */
  public static EngineModel warm(EngineProfile profile) {
    return new EngineModel(profile, true);
  }

  /** What became of a generation that was handed to the engine. */
  public enum Verdict {
    /** It waits or runs. */
    TAKEN,
    /** The queue is full, or it could never fit the memory. */
    NO_ROOM,
    /** It was more than the cold engine carries: the engine fell over. */
    FELL_OVER
  }

  /** Hands a generation to the engine. */
  public Verdict submit(GenerationRequest request) {
    if (waiting.size() >= profile.maxWaiting() || !couldFit(request)) {
      return Verdict.NO_ROOM;
    }
    waiting.add(new EngineSequence(request, arrivals++));
    if (warmth.isWarm() || sinceCold() <= warmth.carries()) {
      return Verdict.TAKEN;
    }
    if (profile.fallOver() == FallOver.NONE) {
      return Verdict.TAKEN;
    }
    fallen = true;
    return Verdict.FELL_OVER;
  }

  /** Takes a generation out; false where it is not there. */
  public boolean cancel(String generationId) {
    EngineSequence found = find(running, generationId);
    if (found != null) {
      running.remove(found);
      found.leave(memory);
      return true;
    }
    found = find(waiting, generationId);
    return found != null && waiting.remove(found);
  }

  /** Plans a step and returns how long it takes; empty where there is nothing to do. */
  public OptionalLong beginStep() {
    if (fallen) {
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

  /** Ends the step that was planned and returns what it brought forth. */
  public List<EngineEvent> endStep() {
    if (fallen) {
      return List.of();
    }
    warmth.worked(stepNanos);
    List<EngineEvent> events = new ArrayList<>();
    for (EngineSequence each : List.copyOf(running)) {
      boolean makesToken = each.makesToken();
      each.computeScheduled(memory);
      if (makesToken) {
        addEvents(each, events);
      }
      each.unschedule();
    }
    return events;
  }

  /** Returns the load at this instant. */
  public EngineLoad load() {
    int usedTokens = memory.usedBlocks() * EngineProfile.BLOCK_TOKENS;
    return new EngineLoad(running.size(), waiting.size(), usedTokens, preemptions);
  }

  /** Returns what changed in the prefix cache since the last call. */
  public CacheChange drainCacheChange() {
    return memory.drainChange();
  }

  /** Returns 0 for an engine that has just started up to 1 for a warm one. */
  public double warmth() {
    return warmth.share();
  }

  /** Returns the concurrent requests that the engine carries now. */
  public int carries() {
    return warmth.carries();
  }

  /** Tells whether the engine fell over. */
  public boolean hasFallen() {
    return fallen;
  }

  /**
   * Makes the engine as cold as after its start. What runs goes on and does not count against what
   * the engine carries from now on.
   */
  public void makeCold() {
    coldSinceArrival = arrivals;
    warmth.makeCold();
    memory.clearCache();
  }

  /** Makes the engine warm at once. */
  public void makeWarm() {
    warmth.makeWarm();
  }

  private long sinceCold() {
    return Stream.concat(running.stream(), waiting.stream())
        .filter(each -> each.arrival() >= coldSinceArrival)
        .count();
  }

  private void admitWaiting() {
    int reserve = memory.totalBlocks() * RESERVE_BLOCKS_PERCENT / 100;
    while (!waiting.isEmpty() && running.size() < profile.maxRunning()) {
      EngineSequence next = waiting.first();
      if (!next.enter(memory, running.isEmpty() ? 0 : reserve)) {
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
    victim.leave(memory);
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
    events.add(new EngineEvent(id, sequence.produced() - 1, EngineEvent.Kind.TOKEN));
    if (!sequence.isDone()) {
      return;
    }
    boolean truncated = sequence.request().truncated();
    EngineEvent.Kind end = truncated ? EngineEvent.Kind.LENGTH : EngineEvent.Kind.STOP;
    events.add(new EngineEvent(id, sequence.produced(), end));
    running.remove(sequence);
    sequence.leave(memory);
    warmth.completed();
  }

  private boolean couldFit(GenerationRequest request) {
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
