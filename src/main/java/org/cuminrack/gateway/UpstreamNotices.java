package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;

/**
 * What upstreams state in their answers about further requests: that they leave, which holds for
 * all gateways until the upstream starts again, and for how long they want no request from this
 * gateway.
 *
 * <p>Announcements say that an upstream leaves too, but may come later than the answer, or not at
 * all.
 *
 * <p>Thread-safe: one lock.
 */
public final class UpstreamNotices {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long the other gateways are told that an upstream leaves. */
  private static final Duration SHARE_TIME = Duration.ofSeconds(10);

  /** The most leaving upstreams that are remembered; more than the upstreams of a large fleet. */
  private static final int MAX_LEAVING = 20_000;

  /** An upstream that wants no requests for longer than this has to say so again. */
  private static final Duration MAX_PAUSE = Duration.ofHours(1);

  /**
   * Streams that may be resumed on an upstream during a pause: a lost stream can't wait for its
   * end, and the copy of its memory is only there.
   */
  private static final int MAX_RESUMED_IN_PAUSE = 1;

  private final Clock clock;
  private final LastErrors invalidPauses = new LastErrors();
  private final Map<Incarnation, Pause> pauses = new HashMap<>();
  private final Map<Incarnation, Leaving> leaving =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Incarnation, Leaving> eldest) {
          return size() > MAX_LEAVING;
        }
      };

  public UpstreamNotices(Clock clock) {
    this.clock = clock;
  }

  private record Leaving(long sinceNanos, boolean observedHere) {}

  private static final class Pause {
    private long untilNanos;
    private int resumed;
  }

  /** Records what an answer of an upstream states; an answer of another one has no effect. */
  synchronized void recordAnswer(UpstreamRecord upstream, ResponseHead head) {
    if (!head.matchesRequest() || head.misdirected()) {
      return;
    }
    Incarnation key = Incarnation.of(upstream);
    if (head.leaving()) {
      recordLeaving(key, true, "answer");
    }
    if (head.pause().isLeft()) {
      recordInvalid(key, head.pause().getLeft());
    } else {
      head.pause().get().ifPresent(pause -> recordPause(key, pause));
    }
  }

  private void recordInvalid(Incarnation upstream, String error) {
    if (invalidPauses.recordIfNew(upstream, error)) {
      logger.atWarning().log(
          "%s",
          LogEvent.named("upstream-pause-invalid")
              .with("upstream", upstream.id())
              .with("detail", error));
    }
  }

  private void recordLeaving(Incarnation upstream, boolean observedHere, String source) {
    if (leaving.putIfAbsent(upstream, new Leaving(clock.nanoTime(), observedHere)) == null) {
      logger.atInfo().log(
          "%s",
          LogEvent.named("upstream-leaving")
              .with("upstream", upstream.id())
              .with("born_millis", upstream.startedMillis())
              .with("source", source));
    }
  }

  private void recordPause(Incarnation upstream, Duration named) {
    long nowNanos = clock.nanoTime();
    pauses.values().removeIf(pause -> pause.untilNanos - nowNanos <= 0);
    Duration duration = named.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : named;
    long untilNanos = nowNanos + duration.toNanos();
    Pause pause = pauses.get(upstream);
    if (pause == null) {
      pause = new Pause();
      pause.untilNanos = untilNanos;
      pauses.put(upstream, pause);
    } else if (untilNanos - pause.untilNanos > 0) {
      // A shorter time does not take back a longer one that was named before.
      pause.untilNanos = untilNanos;
    }
    logger.atInfo().log(
        "%s",
        LogEvent.named("upstream-paused")
            .with("upstream", upstream.id())
            .with("born_millis", upstream.startedMillis())
            .with("named_ms", named.toMillis())
            .with("left_ms", Duration.ofNanos(pause.untilNanos - nowNanos).toMillis()));
  }

  /**
   * Returns whether an upstream has said, here or to a gateway that told this one, that it leaves.
   */
  synchronized boolean isLeaving(UpstreamRecord upstream) {
    return leaving.containsKey(Incarnation.of(upstream));
  }

  /** Returns whether an upstream wants no request from this gateway now. */
  synchronized boolean isPaused(UpstreamRecord upstream) {
    return pauseLeft(upstream).isPresent();
  }

  private Optional<Duration> pauseLeft(UpstreamRecord upstream) {
    return Optional.ofNullable(pauses.get(Incarnation.of(upstream)))
        .map(pause -> Duration.ofNanos(pause.untilNanos - clock.nanoTime()))
        .filter(left -> !left.isNegative() && !left.isZero());
  }

  /** Returns the time until the first of these upstreams ends its pause; empty if none has one. */
  synchronized Optional<Duration> shortestPause(Collection<UpstreamRecord> upstreams) {
    return upstreams.stream()
        .flatMap(upstream -> pauseLeft(upstream).stream())
        .min(Duration::compareTo);
  }

  /** Returns whether a stream may be resumed on an upstream now. */
  synchronized boolean permitsResume(UpstreamRecord upstream) {
    return !isPaused(upstream)
        || pauses.get(Incarnation.of(upstream)).resumed < MAX_RESUMED_IN_PAUSE;
  }

  /** Records that a stream is resumed on an upstream. */
  synchronized void recordResumed(UpstreamRecord upstream) {
    if (isPaused(upstream)) {
      pauses.get(Incarnation.of(upstream)).resumed++;
    }
  }

  /** Returns the leaving upstreams that the other gateways are to be told of. */
  public synchronized Set<Incarnation> ownLeaving() {
    long nowNanos = clock.nanoTime();
    return leaving.entrySet().stream()
        .filter(entry -> entry.getValue().observedHere())
        .filter(entry -> nowNanos - entry.getValue().sinceNanos() < SHARE_TIME.toNanos())
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Learns of upstreams that another gateway knows to leave. */
  public synchronized void addRemote(String vm, Collection<Incarnation> remoteLeaving) {
    remoteLeaving.forEach(upstream -> recordLeaving(upstream, false, vm));
  }

  /** Returns the remaining time of each pause by upstream id, for the dump. */
  public synchronized Map<String, Long> pauseMillisById() {
    long nowNanos = clock.nanoTime();
    Map<String, Long> millis = new HashMap<>();
    pauses.forEach(
        (upstream, pause) ->
            millis.put(
                upstream.id(),
                Math.max(0, Duration.ofNanos(pause.untilNanos - nowNanos).toMillis())));
    return millis;
  }
}
