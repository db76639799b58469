package org.cuminrack.quorum.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Requests to confirm leadership, each waiting for a quorum to answer a later message. */
final class PendingReads {
  private final List<Long> beforeFirstCommit = new ArrayList<>();
  private final Deque<Read> waiting = new ArrayDeque<>();
  private long sequence;

  private record Read(long requestId, long sequence, long index) {}

  /** The number that messages must carry, and answers repeat, to confirm all reads so far. */
  long sequence() {
    return sequence;
  }

  /** Keeps a read until the leader has committed an entry of its own term. */
  void park(long requestId) {
    beforeFirstCommit.add(requestId);
  }

  void unpark(long commitIndex) {
    beforeFirstCommit.forEach(request -> add(request, commitIndex));
    beforeFirstCommit.clear();
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

  /** Forgets all reads and returns their requests. */
  List<Long> drain() {
    List<Long> requests = new ArrayList<>(beforeFirstCommit);
    waiting.forEach(read -> requests.add(read.requestId()));
    beforeFirstCommit.clear();
    waiting.clear();
    return requests;
  }
}
