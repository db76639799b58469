package org.cuminrack.pool;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;

/** Takes what upstreams tell about themselves. Safe for use by many threads. */
public interface UpstreamRegistry {

  /**
   * Takes an announcement at any entry and passes it to the owner of the upstream's pool. The
   * future always completes normally; with {@link AnnounceFirst} where no owner could take it yet.
   */
  CompletableFuture<Either<AnnounceFirst, ReportTarget>> announce(Announcement announcement);

  /** Takes a report; asks for an announcement where this entry does not own the pool. */
  Either<AnnounceFirst, ReportTarget> report(Report report);

  /** Takes cache events; asks for an announcement where this entry does not own the pool. */
  Either<AnnounceFirst, ReportTarget> cacheEvents(CacheEvents events);
}
