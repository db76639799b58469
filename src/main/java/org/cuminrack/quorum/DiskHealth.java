package org.cuminrack.quorum;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;

/**
 * Whether the disk of a replica refuses writes, and since when; logs the beginning and the end, and
 * a reminder in between. Used by one writing thread at a time and any number of readers.
 */
public final class DiskHealth {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration REMINDER_INTERVAL = Duration.ofSeconds(10);

  private final String vmName;
  private final Clock clock;
  private final AtomicLong refusedWrites = new AtomicLong();
  private volatile DiskRefusal refusal;
  private volatile long beganNanos;
  private long lastLoggedNanos;

  DiskHealth(String vmName, Clock clock) {
    this.vmName = vmName;
    this.clock = clock;
  }

  /** Records that a write was refused; returns whether the disk accepted writes until then. */
  boolean refused(String write, IOException cause) {
    refusedWrites.incrementAndGet();
    DiskRefusal before = refusal;
    long nowNanos = clock.nanoTime();
    String detail = cause.toString();
    if (before == null) {
      beganNanos = nowNanos;
      refusal = new DiskRefusal(clock.now().truncatedTo(ChronoUnit.MILLIS), write, detail);
    } else {
      refusal = new DiskRefusal(before.since(), write, detail);
    }
    if (before == null || nowNanos - lastLoggedNanos >= REMINDER_INTERVAL.toNanos()) {
      lastLoggedNanos = nowNanos;
      logger.atWarning().log(
          "%s", event("disk-refuses-writes", refusal).with("write", write).with("detail", detail));
    }
    return before == null;
  }

  /** Records that all refused writes are on the disk. */
  void accepted() {
    DiskRefusal ended = refusal;
    if (ended != null) {
      long refusedMillis = refusedTime().toMillis();
      refusal = null;
      logger.atInfo().log(
          "%s", event("disk-accepts-writes", ended).with("refused_ms", refusedMillis));
    }
  }

  private LogEvent event(String name, DiskRefusal of) {
    return LogEvent.named(name).with("replica", vmName).with("since", of.since());
  }

  /** Returns the current refusal; empty if the disk accepts writes. */
  public Optional<DiskRefusal> refusal() {
    return Optional.ofNullable(refusal);
  }

  /** Returns for how long the disk has refused writes; zero if it accepts them. */
  public Duration refusedTime() {
    return refusal == null ? Duration.ZERO : Duration.ofNanos(clock.nanoTime() - beganNanos);
  }

  /** Returns how many writes were refused since the process started. */
  public long refusedWrites() {
    return refusedWrites.get();
  }
}
