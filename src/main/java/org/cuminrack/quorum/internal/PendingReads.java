package org.cuminrack.quorum.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Reads that wait for a confirmation of the leadership: a quorum must reply to a message that was
 * sent after the read was requested.
 */
final class PendingReads {
  private final List<Long> deferred = new ArrayList<>();
  private final Deque<Read> waiting = new ArrayDeque<>();
  private long sequence;

  private record Read(long requestId, long sequence, long index) {}

  /** Returns the sequence number that replies must repeat to confirm all reads so far. */
  long sequence() {
    return sequence;
  }

  /** Defers a read until the leader has committed an entry of its own term. */
  void defer(long requestId) {
    deferred.add(requestId);
  }

  void addDeferred(long commitIndex) {
    deferred.forEach(request -> add(request, commitIndex));
    deferred.clear();
  }

  void add(long requestId, long commitIndex) {
    sequence++;
    waiting.add(new Read(requestId, sequence, commitIndex));
  }

  void confirmUpTo(long confirmedSequence, List<Effect> effects) {
    while (!waiting.isEmpty() && waiting.peek().sequence() <= confirmedSequence) {
      Read read = waiting.remove();
      effects.add(new Effect.Confirm(read.requestId(), read.index()));
    }
  }

  /** Removes all reads and returns their request IDs. */
  List<Long> drain() {
    List<Long> requests = new ArrayList<>(deferred);
    waiting.forEach(read -> requests.add(read.requestId()));
    deferred.clear();
    waiting.clear();
    return requests;
  }
}
