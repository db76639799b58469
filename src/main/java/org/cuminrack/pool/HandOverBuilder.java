package org.cuminrack.pool;

import java.util.List;
import java.util.function.Function;
import org.cuminrack.admission.Ticket;

/** Builds the hand-over of a pool to its next owner. */
final class HandOverBuilder {
  private HandOverBuilder() {}

  static PoolHandOver build(
      PoolKey key,
      long viewEpoch,
      UpstreamTable upstreams,
      OutstandingTickets outstanding,
      PoolContext context,
      Function<Long, RequestKey> requestKeys,
      long nowNanos) {
    List<PoolHandOver.UpstreamPart> upstreamParts =
        upstreams.all().stream().map(HandOverBuilder::upstream).toList();
    List<PoolHandOver.TicketPart> tickets =
        outstanding.all().stream()
            .map(each -> ticket(each.request(), requestKeys, nowNanos))
            .toList();
    List<PoolHandOver.OutputLengthsPart> outputLengths =
        context.lengths().samples().entrySet().stream()
            .map(each -> new PoolHandOver.OutputLengthsPart(each.getKey(), each.getValue()))
            .toList();
    return new PoolHandOver(key, viewEpoch, upstreamParts, tickets, outputLengths);
  }

  private static PoolHandOver.UpstreamPart upstream(UpstreamState state) {
    return new PoolHandOver.UpstreamPart(
        state.announcement(),
        state.limit().exactValue(),
        state.isLeaving(),
        state.inheritedRequests(),
        state.isInheritedCountUnknown());
  }

  private static PoolHandOver.TicketPart ticket(
      RunningRequest running, Function<Long, RequestKey> requestKeys, long nowNanos) {
    Ticket ticket = running.ticket();
    return new PoolHandOver.TicketPart(
        ticket.id(),
        ticket.epoch(),
        requestKeys.apply(running.queued().id()),
        ticket.upstream(),
        ticket.bootId(),
        ticket.exclusive(),
        running.ageNanos(nowNanos),
        running.queued().request());
  }
}
