package org.cuminrack.sharing;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.cuminrack.fairshare.OrganisationDemand;
import org.cuminrack.gateway.Incarnation;
import org.cuminrack.gateway.RateLimitShare;
import org.cuminrack.gateway.UpstreamLoad;
import org.cuminrack.generated.board.BoardDemandData;
import org.cuminrack.generated.board.BoardLeavingData;
import org.cuminrack.generated.board.BoardLimitData;
import org.cuminrack.generated.board.BoardLoadData;
import org.cuminrack.generated.board.BoardPaceData;
import org.cuminrack.pace.UpstreamPace;

/** Converts what gateways and boards tell each other from and to protobuf. */
public final class BoardCodec {
  private BoardCodec() {}

  static BoardLoadData data(String upstreamId, UpstreamLoad load) {
    // Sums that arrive out of step may be negative for a moment.
    return BoardLoadData.newBuilder()
        .setId(upstreamId)
        .setRequests(Math.max(0, load.requests()))
        .setReservedTokens(Math.max(0, load.reservedTokens()))
        .setUnreadPromptTokens(Math.max(0, load.pendingPrefillTokens()))
        .build();
  }

  static UpstreamLoad load(BoardLoadData data) {
    return new UpstreamLoad(
        data.getRequests(), data.getReservedTokens(), data.getUnreadPromptTokens());
  }

  /** Converts a share to protobuf. */
  public static BoardLimitData data(RateLimitShare share) {
    BoardLimitData.Builder data =
        BoardLimitData.newBuilder()
            .setId(share.upstreamId())
            .setBornMillis(share.startedMillis())
            .setSent(share.sent())
            .setEligible(share.eligible());
    share
        .observed()
        .ifPresent(
            observation -> {
              data.setObserved(true).setAgeMillis(millis(observation.age()));
              observation.requestsPerSecond().ifPresent(data::setRequestsPerSecond);
            });
    return data.build();
  }

  /** Converts a share from protobuf. */
  public static RateLimitShare share(BoardLimitData data) {
    OptionalDouble requestsPerSecond =
        data.hasRequestsPerSecond()
            ? OptionalDouble.of(data.getRequestsPerSecond())
            : OptionalDouble.empty();
    return new RateLimitShare(
        data.getId(),
        data.getBornMillis(),
        data.getObserved()
            ? Optional.of(
                new RateLimitShare.Observation(
                    requestsPerSecond, Duration.ofMillis(data.getAgeMillis())))
            : Optional.empty(),
        data.getSent(),
        data.getEligible());
  }

  static BoardLeavingData data(Incarnation upstream) {
    return BoardLeavingData.newBuilder()
        .setId(upstream.id())
        .setBornMillis(upstream.startedMillis())
        .build();
  }

  static Incarnation incarnation(BoardLeavingData data) {
    return new Incarnation(data.getId(), data.getBornMillis());
  }

  static BoardDemandData data(OrganisationDemand demand) {
    return BoardDemandData.newBuilder()
        .setOrganisation(demand.organisation())
        .setPriority(demand.priority())
        .setHeldUnits(demand.heldUnits())
        .setWaitingUnits(demand.waitingUnits())
        .setWaitingRequests(demand.waitingRequests())
        .build();
  }

  static OrganisationDemand demand(String service, BoardDemandData data) {
    return new OrganisationDemand(
        service,
        data.getOrganisation(),
        data.getPriority(),
        data.getHeldUnits(),
        data.getWaitingUnits(),
        data.getWaitingRequests());
  }

  static BoardPaceData data(UpstreamPace pace) {
    return BoardPaceData.newBuilder()
        .setId(pace.upstreamId())
        .setBornMillis(pace.startedMillis())
        .setSlowdown(pace.slowdown())
        .setSamples(pace.samples())
        .setAgeMillis(millis(pace.age()))
        .build();
  }

  static UpstreamPace pace(BoardPaceData data) {
    return new UpstreamPace(
        data.getId(),
        data.getBornMillis(),
        data.getSlowdown(),
        data.getSamples(),
        Duration.ofMillis(data.getAgeMillis()));
  }

  private static int millis(Duration age) {
    return (int) Math.min(Integer.MAX_VALUE, Math.max(0, age.toMillis()));
  }
}
