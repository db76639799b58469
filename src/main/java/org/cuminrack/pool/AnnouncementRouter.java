package org.cuminrack.pool;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.generated.pool.AnnouncementAnswer;
import org.cuminrack.generated.pool.AnnouncementCall;
import org.cuminrack.member.EntryMember;
import org.cuminrack.member.Membership;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireFailure;

/** Routes announcements, reports and cache events of upstreams to the owners of their pools. */
final class AnnouncementRouter implements UpstreamRegistry {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  private final Membership membership;
  private final PoolOwner owner;
  private final PoolCalls calls;

  AnnouncementRouter(Membership membership, PoolOwner owner, PoolCalls calls) {
    this.membership = membership;
    this.owner = owner;
    this.calls = calls;
  }

  @Override
  public CompletableFuture<Either<AnnouncementRequired, ReportTarget>> announce(
      Announcement announcement) {
    PoolKey pool = Shards.poolOf(announcement);
    Optional<EntryMember> member = PoolOwnership.ownerOf(pool, membership.view());
    if (member.isEmpty()) {
      return CompletableFuture.completedFuture(Either.left(new AnnouncementRequired("no owner")));
    }
    ReportTarget target = target(member.get());
    Optional<OwnedPool> ownPool = owner.ownedPool(pool);
    if (ownPool.isPresent()) {
      boolean accepted = ownPool.get().announced(announcement);
      return CompletableFuture.completedFuture(toResponse(accepted, target));
    }
    return forward(pool, announcement, member.get())
        .thenApply(response -> toResponse(isAccepted(response), target));
  }

  @Override
  public Either<AnnouncementRequired, ReportTarget> report(Report report) {
    Optional<OwnedPool> pool = owner.findByUpstream(report.upstream(), report.bootId());
    pool.ifPresent(each -> each.reported(report));
    return toResponse(pool.isPresent());
  }

  @Override
  public Either<AnnouncementRequired, ReportTarget> reportCacheEvents(CacheEvents events) {
    Optional<OwnedPool> pool = owner.findByUpstream(events.upstream(), events.bootId());
    pool.ifPresent(each -> each.cacheChanged(events));
    return toResponse(pool.isPresent());
  }

  private Either<AnnouncementRequired, ReportTarget> toResponse(boolean hasUpstream) {
    long sessionId = membership.sessionId();
    Optional<EntryMember> self =
        membership.view().members().stream()
            .filter(each -> each.sessionId() == sessionId)
            .findAny();
    if (!hasUpstream || self.isEmpty()) {
      return Either.left(new AnnouncementRequired("upstream not known here"));
    }
    return Either.right(target(self.get()));
  }

  private static Either<AnnouncementRequired, ReportTarget> toResponse(
      boolean accepted, ReportTarget target) {
    return accepted
        ? Either.right(target)
        : Either.left(new AnnouncementRequired("not taken by its owner"));
  }

  private CompletableFuture<Either<WireFailure, byte[]>> forward(
      PoolKey pool, Announcement announcement, EntryMember member) {
    byte[] payload =
        AnnouncementCall.newBuilder()
            .setPool(PoolMessages.message(pool))
            .setAnnouncement(PoolMessages.message(announcement))
            .build()
            .toByteArray();
    return calls.call(member.wireAddress(), Method.FORWARD_ANNOUNCEMENT, payload, CALL_TIMEOUT);
  }

  private static boolean isAccepted(Either<WireFailure, byte[]> response) {
    try {
      return response.isRight() && AnnouncementAnswer.parseFrom(response.get()).getTaken();
    } catch (InvalidProtocolBufferException e) {
      return false;
    }
  }

  private static ReportTarget target(EntryMember member) {
    return new ReportTarget(member.httpAddress(), PoolLimits.REPORT_INTERVAL.toMillis());
  }
}
