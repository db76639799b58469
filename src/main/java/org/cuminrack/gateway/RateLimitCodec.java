package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.cuminrack.generated.fleet.UpstreamLimitData;

/** Converts rate limit shares from and to protobuf. */
final class RateLimitCodec {
  private RateLimitCodec() {}

  static UpstreamLimitData data(RateLimitShare share) {
    UpstreamLimitData.Builder data =
        UpstreamLimitData.newBuilder()
            .setId(share.upstreamId())
            .setBornMillis(share.startedMillis())
            .setSent(share.sent())
            .setEligible(share.eligible());
    share
        .observed()
        .ifPresent(
            observation -> {
              data.setObserved(true).setAgeMillis((int) observation.age().toMillis());
              observation.requestsPerSecond().ifPresent(data::setRequestsPerSecond);
            });
    return data.build();
  }

  static RateLimitShare share(UpstreamLimitData data) {
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
}
