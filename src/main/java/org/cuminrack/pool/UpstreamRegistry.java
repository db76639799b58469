package org.cuminrack.pool;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;

/** Receives announcements, reports and cache events of upstreams. Thread-safe. */
public interface UpstreamRegistry {

  /**
   * Passes an announcement received at any entry to the owner of the upstream's pool. The future
   * always completes normally, with {@link AnnounceFirst} if no owner has accepted it.
   */
  CompletableFuture<Either<AnnounceFirst, ReportTarget>> announce(Announcement announcement);

  /**
   * Handles a report; requires a new announcement if no pool that this entry owns knows the
   * upstream.
   */
  Either<AnnounceFirst, ReportTarget> report(Report report);

  /**
   * Handles cache events; requires a new announcement if no pool that this entry owns knows the
   * upstream.
   */
  Either<AnnounceFirst, ReportTarget> cacheEvents(CacheEvents events);
}
