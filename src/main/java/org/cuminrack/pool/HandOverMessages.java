package org.cuminrack.pool;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.cuminrack.admission.Priority;
import org.cuminrack.generated.pool.HandOverCall;
import org.cuminrack.generated.pool.LengthsHandOver;
import org.cuminrack.generated.pool.TicketHandOver;
import org.cuminrack.generated.pool.UpstreamHandOver;

/** Converts hand-overs to and from wire messages. */
final class HandOverMessages {
  private HandOverMessages() {}

  static HandOverCall message(PoolHandOver handOver) {
    HandOverCall.Builder call =
        HandOverCall.newBuilder()
            .setPool(PoolMessages.message(handOver.pool()))
            .setEpoch(handOver.epoch());
    handOver.upstreams().forEach(each -> call.addUpstreams(message(each)));
    handOver.tickets().forEach(each -> call.addTickets(message(each)));
    handOver.outputLengths().forEach(each -> call.addLengths(message(each)));
    return call.build();
  }

  static PoolHandOver handOver(HandOverCall call) {
    PoolKey pool = PoolMessages.key(call.getPool());
    return new PoolHandOver(
        pool,
        call.getEpoch(),
        call.getUpstreamsList().stream().map(HandOverMessages::upstream).toList(),
        call.getTicketsList().stream().map(each -> ticket(pool, each)).toList(),
        call.getLengthsList().stream().map(HandOverMessages::outputLengths).toList());
  }

  private static UpstreamHandOver message(PoolHandOver.UpstreamPart part) {
    return UpstreamHandOver.newBuilder()
        .setAnnouncement(PoolMessages.message(part.announcement()))
        .setLimit(part.limit())
        .setLeaving(part.leaving())
        .setInherited(part.inheritedRequests())
        .setInheritedUnknown(part.inheritedRequestsUnknown())
        .build();
  }

  private static PoolHandOver.UpstreamPart upstream(UpstreamHandOver message) {
    return new PoolHandOver.UpstreamPart(
        PoolMessages.announcement(message.getAnnouncement()),
        message.getLimit(),
        message.getLeaving(),
        message.getInherited(),
        message.getInheritedUnknown());
  }

  private static TicketHandOver message(PoolHandOver.TicketPart part) {
    return TicketHandOver.newBuilder()
        .setTicket(part.ticketId())
        .setEpoch(part.epoch())
        .setSession(part.requestKey().session())
        .setRequest(part.requestKey().request())
        .setUpstream(part.upstream())
        .setBootId(part.bootId())
        .setAlone(part.exclusive())
        .setAgeNanos(part.ageNanos())
        .setFacts(PoolMessages.facts(part.request()))
        .build();
  }

  private static PoolHandOver.TicketPart ticket(PoolKey pool, TicketHandOver message) {
    return new PoolHandOver.TicketPart(
        message.getTicket(),
        message.getEpoch(),
        new RequestKey(message.getSession(), message.getRequest()),
        message.getUpstream(),
        message.getBootId(),
        message.getAlone(),
        message.getAgeNanos(),
        // The request is admitted: its timeout and excluded upstreams no longer matter.
        PoolMessages.request(pool.service(), message.getFacts(), Duration.ZERO, Set.of()));
  }

  private static LengthsHandOver message(PoolHandOver.OutputLengthsPart part) {
    LengthsHandOver.Builder lengths =
        LengthsHandOver.newBuilder()
            .setOrganisation(part.flow().organisation())
            .setInteractive(part.flow().priority() == Priority.INTERACTIVE);
    for (double each : part.counts()) {
      lengths.addCounts((float) each);
    }
    return lengths.build();
  }

  private static PoolHandOver.OutputLengthsPart outputLengths(LengthsHandOver message) {
    List<Float> bucketCounts = message.getCountsList();
    double[] counts = bucketCounts.stream().mapToDouble(Float::doubleValue).toArray();
    FlowKey flow =
        new FlowKey(message.getOrganisation(), PoolMessages.priority(message.getInteractive()));
    return new PoolHandOver.OutputLengthsPart(flow, counts);
  }
}
