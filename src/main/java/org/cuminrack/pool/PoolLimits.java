package org.cuminrack.pool;

import java.time.Duration;

/** Bounds of pools and of the work in them. */
public final class PoolLimits {
  /** Upstreams in one shard; a set of them fits in one long. */
  public static final int MAX_UPSTREAMS = 64;

  /** How long a ticket's holder may take to send the request. */
  public static final Duration DISPATCH_TIMEOUT = Duration.ofSeconds(1);

  /** How often an upstream reports. */
  public static final Duration REPORT_INTERVAL = Duration.ofMillis(500);

  /** An upstream that has not reported for longer gets no new work. */
  public static final Duration SILENT_AFTER = Duration.ofMillis(1750);

  /** An upstream that has not reported for longer is forgotten. */
  public static final Duration REMOVE_AFTER = Duration.ofSeconds(15);

  /** How old the contents of a report may be. */
  public static final Duration MAX_REPORT_AGE = Duration.ofSeconds(1);

  /** The longest time a request may wait for an upstream, whatever its timeout. */
  public static final Duration MAX_QUEUE_WAIT = Duration.ofMillis(1200);

  /** The shortest time after which a refused caller is told to come back. */
  public static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

  /** The longest time after which a refused caller is told to come back. */
  public static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);

  private PoolLimits() {}
}
