package org.cuminrack.pool;

import java.time.Duration;

/** Limits of pools and of the requests in them. */
public final class PoolLimits {
  /** Maximum number of upstreams in a shard; a set of them is a bit mask in a long. */
  public static final int MAX_UPSTREAMS = 64;

  /** Time from admission within which the request of a ticket must be sent. */
  public static final Duration DISPATCH_TIMEOUT = Duration.ofSeconds(1);

  /** Interval between the reports of an upstream. */
  public static final Duration REPORT_INTERVAL = Duration.ofMillis(500);

  /** An upstream without a report or announcement for longer than this gets no new requests. */
  public static final Duration SILENT_AFTER = Duration.ofMillis(1750);

  /** An upstream without a report or announcement for longer than this is removed. */
  public static final Duration REMOVE_AFTER = Duration.ofSeconds(15);

  /** Maximum age of the contents of a report. */
  public static final Duration MAX_REPORT_AGE = Duration.ofSeconds(1);

  /** Maximum time that a request is queued, regardless of its timeout. */
  public static final Duration MAX_QUEUE_WAIT = Duration.ofMillis(1200);

  /** Minimum retry delay given to a refused caller. */
  public static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

  /** Maximum retry delay given to a refused caller. */
  public static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);

  private PoolLimits() {}
}
