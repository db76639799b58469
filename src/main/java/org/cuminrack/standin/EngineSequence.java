package org.cuminrack.standin;

import java.util.List;
import org.cuminrack.admission.Priority;

/** One generation's state in the scheduler. */
final class EngineSequence {
  private final GenerationRequest request;
  private final long arrival;
  private int produced;
  private int computedTokens;
  private int sharedBlocks;
  private int privateBlocks;
  private int scheduledPrefill;
  private boolean makesToken;

  EngineSequence(GenerationRequest request, long arrival) {
    this.request = request;
    this.arrival = arrival;
  }

  GenerationRequest request() {
    return request;
  }

  long arrival() {
    return arrival;
  }

  int produced() {
    return produced;
  }

  boolean makesToken() {
    return makesToken;
  }

  /** Orders by urgency: the most urgent and oldest first. */
  static int compareUrgency(EngineSequence a, EngineSequence b) {
    int byPriority = rank(a.request.priority()) - rank(b.request.priority());
    return byPriority != 0 ? byPriority : Long.compare(a.arrival, b.arrival);
  }

  /** Takes the memory for all that must be computed; false where it does not fit. */
  boolean enter(KeyValueMemory memory, int reserveBlocks) {
    List<Long> hashes = request.blockHashes();
    int hits = Math.min(memory.cachedPrefix(hashes), maxHits());
    List<Long> prefix = hashes.subList(0, hits);
    int needed = blocks(contextTokens() + 1) - hits;
    if (memory.availableBeside(prefix) < needed + reserveBlocks) {
      return false;
    }
    prefix.forEach(memory::share);
    boolean taken = memory.takePrivate(needed);
    if (!taken) {
      throw new IllegalStateException("memory shrank between the check and the taking");
    }
    sharedBlocks = hits;
    privateBlocks = needed;
    computedTokens = hits * EngineProfile.BLOCK_TOKENS;
    return true;
  }

  /** Gives all memory back; what was computed is lost. */
  void leave(KeyValueMemory memory) {
    memory.releasePrivate(privateBlocks);
    request.blockHashes().subList(0, sharedBlocks).forEach(memory::releaseShared);
    privateBlocks = 0;
    sharedBlocks = 0;
    computedTokens = 0;
    scheduledPrefill = 0;
    makesToken = false;
  }

  /** Plans up to this many prompt tokens for the step; returns how many. */
  int schedulePrefill(int budgetTokens) {
    scheduledPrefill = Math.min(budgetTokens, contextTokens() - computedTokens);
    makesToken = computedTokens + scheduledPrefill == contextTokens();
    return scheduledPrefill;
  }

  boolean isPrefilling() {
    int computedBeforeDecode = produced == 0 ? contextTokens() : contextTokens() - 1;
    return computedTokens < computedBeforeDecode;
  }

  /** Plans one token of output; false where there is no block for it. */
  boolean scheduleDecode(KeyValueMemory memory) {
    int missing = blocks(contextTokens() + 1) - sharedBlocks - privateBlocks;
    if (missing > 0 && !memory.takePrivate(missing)) {
      return false;
    }
    privateBlocks += Math.max(0, missing);
    scheduledPrefill = contextTokens() - computedTokens;
    makesToken = true;
    return true;
  }

  void unschedule() {
    scheduledPrefill = 0;
    makesToken = false;
  }

  /** Applies the planned part of a step. */
  void computeScheduled(KeyValueMemory memory) {
    computedTokens += scheduledPrefill;
    publishWholeBlocks(memory);
    if (makesToken) {
      produced++;
    }
    scheduledPrefill = 0;
  }

  boolean isDone() {
    return produced >= request.outputTokens();
  }

  private void publishWholeBlocks(KeyValueMemory memory) {
    List<Long> hashes = request.blockHashes();
    int whole = Math.min(hashes.size(), computedTokens / EngineProfile.BLOCK_TOKENS);
    while (sharedBlocks < whole) {
      memory.publish(hashes.get(sharedBlocks));
      sharedBlocks++;
      privateBlocks--;
    }
  }

  private int contextTokens() {
    return request.promptTokens() + produced;
  }

  private int maxHits() {
    return (request.promptTokens() - 1) / EngineProfile.BLOCK_TOKENS;
  }

  private static int blocks(int tokens) {
    return (tokens + EngineProfile.BLOCK_TOKENS - 1) / EngineProfile.BLOCK_TOKENS;
  }

  private static int rank(Priority priority) {
    return priority == Priority.INTERACTIVE ? 0 : 1;
  }
}
