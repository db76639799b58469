package org.cuminrack.pool;

import java.util.Optional;
import java.util.function.Function;
import org.cuminrack.admission.Ticket;

/**
 * Restores the state handed over by a former owner into a pool. A repeated hand-over does not
 * duplicate upstreams or tickets, but adds its output lengths again.
 */
final class HandOverRestorer {
  private final UpstreamTable upstreams;
  private final OutstandingTickets outstanding;
  private final AdmissionQueue queue;
  private final RequestFactory requests;
  private final PoolContext context;

  HandOverRestorer(
      UpstreamTable upstreams,
      OutstandingTickets outstanding,
      AdmissionQueue queue,
      RequestFactory requests,
      PoolContext context) {
    this.upstreams = upstreams;
    this.outstanding = outstanding;
    this.queue = queue;
    this.requests = requests;
    this.context = context;
  }

  void restore(PoolHandOver handOver, Function<RequestKey, Long> requestIds) {
    handOver.upstreams().forEach(this::restoreUpstream);
    handOver.outputLengths().forEach(each -> context.lengths().merge(each.flow(), each.counts()));
    handOver.tickets().forEach(each -> restoreTicket(handOver.pool(), each, requestIds));
  }

  private void restoreUpstream(PoolHandOver.UpstreamPart part) {
    Announcement announcement = part.announcement();
    Optional<UpstreamState> existing = upstreams.find(announcement.upstream());
    boolean hasOtherBootId =
        existing.isPresent()
            && !existing.get().announcement().bootId().equals(announcement.bootId());
    if (hasOtherBootId || !(existing.isPresent() || upstreams.hasFreeSlot())) {
      return;
    }
    long nowNanos = context.nowNanos();
    UpstreamState state =
        existing.orElseGet(() -> upstreams.add(announcement, InheritedWork.none(), nowNanos));
    state.restore(part, inheritedWork(part));
  }

  private InheritedWork inheritedWork(PoolHandOver.UpstreamPart part) {
    if (part.inheritedRequestsUnknown()) {
      long completeFromNanos = context.nowNanos() + FormerOwner.FULLY_REPORTED_AFTER_NANOS;
      return InheritedWork.ofUnknownCount().formerOwnerStopped(completeFromNanos);
    }
    return InheritedWork.ofCount(part.inheritedRequests());
  }

  private void restoreTicket(
      PoolKey pool, PoolHandOver.TicketPart part, Function<RequestKey, Long> requestIds) {
    Optional<UpstreamState> upstream = upstreams.find(part.upstream(), part.bootId());
    if (upstream.isEmpty() || outstanding.contains(part.ticketId())) {
      return;
    }
    long admittedNanos = context.nowNanos() - part.ageNanos();
    long requestId = requestIds.apply(part.requestKey());
    QueuedRequest queued = requests.create(requestId, part.request(), admittedNanos);
    RunningRequest running =
        new RunningRequest(ticket(pool, part, upstream.get()), queued, admittedNanos);
    upstream.get().admitted(running);
    outstanding.add(upstream.get(), running);
    context.usage().add(queued);
    if (part.exclusive()) {
      queue.restoreSuspect(upstream.get(), part.ticketId());
    }
  }

  private static Ticket ticket(PoolKey pool, PoolHandOver.TicketPart part, UpstreamState upstream) {
    return new Ticket(
        part.ticketId(),
        pool.name(),
        part.epoch(),
        part.upstream(),
        part.bootId(),
        upstream.announcement().address(),
        // Only the entry that requested the ticket checks the dispatch deadline.
        0,
        part.exclusive());
  }
}
