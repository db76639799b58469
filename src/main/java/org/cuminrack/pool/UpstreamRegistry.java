package org.cuminrack.pool;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;

/** Receives announcements, reports and cache events of upstreams. Thread-safe. */
public interface UpstreamRegistry {

  /**
   * Passes an announcement received at any entry to the owner of the upstream's pool. The future
   * always completes normally, with {@link AnnouncementRequired} if no owner has accepted it.
   */
  CompletableFuture<Either<AnnouncementRequired, ReportTarget>> announce(Announcement announcement);

  /**
   * Handles a report; requires a new announcement if no pool that this entry owns knows the
   * upstream.
   */
  Either<AnnouncementRequired, ReportTarget> report(Report report);

  /**
   * Reports changes of an upstream's prefix cache; requires a new announcement if no pool that this
   * entry owns knows the upstream.
   */
  Either<AnnouncementRequired, ReportTarget> reportCacheEvents(CacheEvents events);
}
