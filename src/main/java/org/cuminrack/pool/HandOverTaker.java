package org.cuminrack.pool;

import java.util.Optional;
import java.util.function.Function;
import org.cuminrack.admission.Ticket;

/** Takes a former owner's knowledge into a pool. Taking the same twice changes nothing. */
final class HandOverTaker {
  private final UpstreamTable upstreams;
  private final Holdings holdings;
  private final WaitingRoom waiting;
  private final RequestFactory requests;
  private final PoolContext context;

  HandOverTaker(
      UpstreamTable upstreams,
      Holdings holdings,
      WaitingRoom waiting,
      RequestFactory requests,
      PoolContext context) {
    this.upstreams = upstreams;
    this.holdings = holdings;
    this.waiting = waiting;
    this.requests = requests;
    this.context = context;
  }

  void take(PoolHandOver handOver, Function<Requester, Long> requestIds) {
    handOver.upstreams().forEach(this::takeUpstream);
    handOver.lengths().forEach(each -> context.lengths().merge(each.flow(), each.counts()));
    handOver.tickets().forEach(each -> takeTicket(handOver.pool(), each, requestIds));
  }

  private void takeUpstream(PoolHandOver.UpstreamPart part) {
    Announcement announcement = part.announcement();
    Optional<UpstreamState> here = upstreams.find(announcement.upstream());
    boolean newerLife =
        here.isPresent() && !here.get().announcement().bootId().equals(announcement.bootId());
    if (newerLife || !(here.isPresent() || upstreams.hasRoom())) {
      return;
    }
    long nowNanos = context.nowNanos();
    UpstreamState state =
        here.orElseGet(() -> upstreams.add(announcement, InheritedWork.none(), nowNanos));
    state.restore(part, formerWork(part));
  }

  private InheritedWork formerWork(PoolHandOver.UpstreamPart part) {
    if (part.inheritedUnknown()) {
      long knownFrom = context.nowNanos() + FormerOwner.SURELY_REPORTED_NANOS;
      return InheritedWork.unknown().stoppedKnownFrom(knownFrom);
    }
    return InheritedWork.known(part.inherited());
  }

  private void takeTicket(
      PoolKey pool, PoolHandOver.TicketPart part, Function<Requester, Long> requestIds) {
    Optional<UpstreamState> upstream = upstreams.find(part.upstream(), part.bootId());
    if (upstream.isEmpty() || holdings.contains(part.ticketId())) {
      return;
    }
    long admittedNanos = context.nowNanos() - part.ageNanos();
    long requestId = requestIds.apply(part.holder());
    QueuedRequest queued = requests.create(requestId, part.request(), admittedNanos);
    RunningRequest running =
        new RunningRequest(ticket(pool, part, upstream.get()), queued, admittedNanos);
    upstream.get().admitted(running);
    holdings.add(upstream.get(), running);
    context.shares().add(queued);
    if (part.alone()) {
      waiting.suspectRuns(upstream.get(), part.ticketId());
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
        0,
        part.alone());
  }
}
