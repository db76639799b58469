package org.cuminrack.standin;

import java.util.List;
import org.cuminrack.admission.Priority;

/** One generation's state in the scheduler. */
final class EngineSequence {
  private final GenerationRequest request;
  private final long arrivalNumber;
  private int producedTokens;
  private int computedTokens;
  private int sharedBlocks;
  private int privateBlocks;
  private int scheduledTokens;
  private boolean emitsToken;

  EngineSequence(GenerationRequest request, long arrivalNumber) {
    this.request = request;
    this.arrivalNumber = arrivalNumber;
  }

  GenerationRequest request() {
    return request;
  }

  long arrivalNumber() {
    return arrivalNumber;
  }

  int producedTokens() {
    return producedTokens;
  }

  boolean emitsToken() {
    return emitsToken;
  }

  /** Orders by priority, then by arrival: the highest priority and the oldest first. */
  static int comparePriority(EngineSequence a, EngineSequence b) {
    int byPriority = rank(a.request.priority()) - rank(b.request.priority());
    return byPriority != 0 ? byPriority : Long.compare(a.arrivalNumber, b.arrivalNumber);
  }

  /**
   * Allocates the memory for the whole context and one more token; returns false if fewer than
   * {@code reserveBlocks} blocks would stay available.
   */
  boolean allocateMemory(KeyValueMemory memory, int reserveBlocks) {
    List<Long> hashes = request.blockHashes();
    int cachedBlocks = Math.min(memory.cachedPrefixLength(hashes), maxCachedBlocks());
    List<Long> prefix = hashes.subList(0, cachedBlocks);
    int neededBlocks = blocksFor(contextTokens() + 1) - cachedBlocks;
    if (memory.availableAfterSharing(prefix) < neededBlocks + reserveBlocks) {
      return false;
    }
    prefix.forEach(memory::share);
    boolean allocated = memory.allocatePrivate(neededBlocks);
    if (!allocated) {
      throw new IllegalStateException("allocation failed although enough blocks were available");
    }
    sharedBlocks = cachedBlocks;
    privateBlocks = neededBlocks;
    computedTokens = cachedBlocks * EngineProfile.BLOCK_TOKENS;
    return true;
  }

  /** Releases all memory and discards the computed state. */
  void releaseMemory(KeyValueMemory memory) {
    memory.releasePrivate(privateBlocks);
    request.blockHashes().subList(0, sharedBlocks).forEach(memory::releaseShared);
    privateBlocks = 0;
    sharedBlocks = 0;
    computedTokens = 0;
    scheduledTokens = 0;
    emitsToken = false;
  }

  /** Schedules at most this many prompt tokens for the step; returns the number scheduled. */
  int schedulePrefill(int budgetTokens) {
    scheduledTokens = Math.min(budgetTokens, contextTokens() - computedTokens);
    emitsToken = computedTokens + scheduledTokens == contextTokens();
    return scheduledTokens;
  }

  boolean isPrefilling() {
    // The decode step itself computes the last produced token.
    int prefillTokens = producedTokens == 0 ? contextTokens() : contextTokens() - 1;
    return computedTokens < prefillTokens;
  }

  /** Schedules one output token; returns false if no block is free for it. */
  boolean scheduleDecode(KeyValueMemory memory) {
    int missingBlocks = blocksFor(contextTokens() + 1) - sharedBlocks - privateBlocks;
    if (missingBlocks > 0 && !memory.allocatePrivate(missingBlocks)) {
      return false;
    }
    privateBlocks += Math.max(0, missingBlocks);
    scheduledTokens = contextTokens() - computedTokens;
    emitsToken = true;
    return true;
  }

  void unschedule() {
    scheduledTokens = 0;
    emitsToken = false;
  }

  /** Applies the work scheduled for the step. */
  void computeScheduled(KeyValueMemory memory) {
    computedTokens += scheduledTokens;
    publishFullBlocks(memory);
    if (emitsToken) {
      producedTokens++;
    }
    scheduledTokens = 0;
  }

  boolean isDone() {
    return producedTokens >= request.outputTokens();
  }

  private void publishFullBlocks(KeyValueMemory memory) {
    List<Long> hashes = request.blockHashes();
    int fullBlocks = Math.min(hashes.size(), computedTokens / EngineProfile.BLOCK_TOKENS);
    while (sharedBlocks < fullBlocks) {
      memory.publish(hashes.get(sharedBlocks));
      sharedBlocks++;
      privateBlocks--;
    }
  }

  private int contextTokens() {
    return request.promptTokens() + producedTokens;
  }

  private int maxCachedBlocks() {
    // At least one prompt token must be computed to produce the first token.
    return (request.promptTokens() - 1) / EngineProfile.BLOCK_TOKENS;
  }

  private static int blocksFor(int tokens) {
    return (tokens + EngineProfile.BLOCK_TOKENS - 1) / EngineProfile.BLOCK_TOKENS;
  }

  private static int rank(Priority priority) {
    return priority == Priority.INTERACTIVE ? 0 : 1;
  }
}
