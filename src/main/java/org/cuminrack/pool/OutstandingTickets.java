package org.cuminrack.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The tickets of a pool that were issued and not returned. */
final class OutstandingTickets {
  private final Map<Long, OutstandingTicket> byTicket = new HashMap<>();
  private final Map<Long, Long> ticketIdsByRequestId = new HashMap<>();

  /** An outstanding ticket and the upstream that it is for. */
  record OutstandingTicket(UpstreamState upstream, RunningRequest request) {}

  void add(UpstreamState upstream, RunningRequest request) {
    long ticketId = request.ticket().id();
    byTicket.put(ticketId, new OutstandingTicket(upstream, request));
    ticketIdsByRequestId.put(request.queued().id(), ticketId);
  }

  boolean contains(long ticketId) {
    return byTicket.containsKey(ticketId);
  }

  Optional<OutstandingTicket> remove(long ticketId) {
    OutstandingTicket removed = byTicket.remove(ticketId);
    if (removed != null) {
      ticketIdsByRequestId.remove(removed.request().queued().id());
    }
    return Optional.ofNullable(removed);
  }

  Optional<Long> ticketIdOf(long requestId) {
    return Optional.ofNullable(ticketIdsByRequestId.get(requestId));
  }

  Collection<OutstandingTicket> all() {
    return byTicket.values();
  }
}
