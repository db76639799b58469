package org.cuminrack.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Queues suspects: requests that were running on an upstream when it died. One suspect runs at a
 * time, alone on an upstream reserved for it. A reserved upstream gets no other requests while it
 * drains and while the suspect runs.
 */
final class SuspectQueue {
  private final Deque<QueuedRequest> waiting = new ArrayDeque<>();
  private UpstreamState reserved;
  private long ticketId;
  private boolean running;

  void add(QueuedRequest request) {
    waiting.addLast(request);
  }

  int size() {
    return waiting.size();
  }

  /** Returns the suspect to admit next; empty while another one runs. */
  Optional<QueuedRequest> head() {
    return running ? Optional.empty() : Optional.ofNullable(waiting.peekFirst());
  }

  /**
   * Reserves an upstream for the head, unless one is reserved, and returns it once no request runs
   * on it.
   *
   * @param candidates available upstreams that the head does not exclude, regardless of their load
   */
  Optional<UpstreamState> place(List<UpstreamState> candidates) {
    boolean stillCandidate = reserved != null && candidates.contains(reserved);
    if (!stillCandidate) {
      release();
      reserve(candidates);
    }
    return Optional.ofNullable(reserved).filter(each -> each.requestsInFlight() == 0);
  }

  /** Records that the head was admitted to the reserved upstream. */
  void admitted(long admittedTicketId) {
    waiting.removeFirst();
    ticketId = admittedTicketId;
    running = true;
  }

  /** Restores a suspect that already runs alone on this upstream. */
  void restore(UpstreamState upstream, long restoredTicketId) {
    release();
    reserved = upstream;
    upstream.setReserved(true);
    ticketId = restoredTicketId;
    running = true;
  }

  /** Ends the reservation if the ticket is that of the running suspect. */
  void ticketRemoved(long removedTicketId) {
    if (running && ticketId == removedTicketId) {
      running = false;
      release();
    }
  }

  List<QueuedRequest> removeIf(Predicate<QueuedRequest> condition) {
    List<QueuedRequest> removed = new ArrayList<>(waiting.stream().filter(condition).toList());
    waiting.removeAll(removed);
    if (waiting.isEmpty() && !running) {
      release();
    }
    return removed;
  }

  private void reserve(List<UpstreamState> candidates) {
    candidates.stream()
        .filter(each -> !each.isReserved())
        .min(Comparator.comparingInt(UpstreamState::requestsInFlight))
        .ifPresent(
            each -> {
              reserved = each;
              each.setReserved(true);
            });
  }

  private void release() {
    if (reserved != null) {
      reserved.setReserved(false);
      reserved = null;
    }
  }
}
