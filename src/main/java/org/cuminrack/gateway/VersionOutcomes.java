package org.cuminrack.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.generated.rollout.RolloutFigures;
import org.cuminrack.generated.rollout.RouteFiguresData;
import org.cuminrack.rollout.LatencyBuckets;
import org.cuminrack.rollout.VersionRollout;
import org.cuminrack.time.Clock;

/**
 * Counts, by route and version, what upstreams answer while a version of their service is rolled
 * out. Thread-safe.
 */
public final class VersionOutcomes {
  private static final double NANOS_PER_MILLI = 1e6;

  private final Supplier<Map<String, VersionRollout>> rollouts;
  private final Clock clock;
  private final Map<String, Tally> tallies = new HashMap<>();

  /**
   * Creates counters.
   *
   * @param rollouts supplies the last roll-out of each service, by service
   */
  public VersionOutcomes(Supplier<Map<String, VersionRollout>> rollouts, Clock clock) {
    this.rollouts = rollouts;
    this.clock = clock;
  }

  /** Records that a request may have reached an upstream. */
  synchronized void recordSent(UpstreamRecord upstream, String route) {
    figures(upstream, route).ifPresent(figures -> figures.sent++);
  }

  /** Records that a request failed at an upstream, or that its answer was lost. */
  synchronized void recordFailure(UpstreamRecord upstream, String route) {
    figures(upstream, route).ifPresent(figures -> figures.failed++);
  }

  /** Records an answer that took some time, or the time for which there was none. */
  synchronized void recordAnswer(UpstreamRecord upstream, String route, Duration latency) {
    int bucket = LatencyBuckets.indexOf(latency.toNanos() / NANOS_PER_MILLI);
    figures(upstream, route).ifPresent(figures -> figures.answeredByLatency[bucket]++);
  }

  /** Returns the totals of each roll-out that runs. */
  synchronized List<RolloutFigures> totals() {
    List<RolloutFigures> totals = new ArrayList<>();
    for (VersionRollout rollout : rollouts.get().values()) {
      if (rollout.stage().isRunning()) {
        totals.add(tally(rollout).toData(clock.nanoTime()));
      }
    }
    return totals;
  }

  long nanoTime() {
    return clock.nanoTime();
  }

  private Optional<Figures> figures(UpstreamRecord upstream, String route) {
    VersionRollout rollout = rollouts.get().get(upstream.service());
    if (rollout == null || !rollout.stage().isRunning()) {
      return Optional.empty();
    }
    boolean isNew = rollout.isNew(upstream.version());
    return Optional.of(
        tally(rollout).figures.computeIfAbsent(new Key(route, isNew), key -> new Figures()));
  }

  private Tally tally(VersionRollout rollout) {
    Tally tally = tallies.get(rollout.service());
    if (tally == null || tally.rolloutId != rollout.id()) {
      tally = new Tally(rollout.id(), clock.nanoTime());
      tallies.put(rollout.service(), tally);
    }
    return tally;
  }

  private record Key(String route, boolean isNew) {}

  private static final class Tally {
    private final long rolloutId;
    private final long sinceNanos;
    private final Map<Key, Figures> figures = new HashMap<>();

    Tally(long rolloutId, long sinceNanos) {
      this.rolloutId = rolloutId;
      this.sinceNanos = sinceNanos;
    }

    RolloutFigures toData(long nowNanos) {
      RolloutFigures.Builder data =
          RolloutFigures.newBuilder()
              .setId(rolloutId)
              .setAgeMillis(Duration.ofNanos(nowNanos - sinceNanos).toMillis());
      figures.forEach((key, each) -> data.addRoutes(each.toData(key)));
      return data.build();
    }
  }

  private static final class Figures {
    private int sent;
    private int failed;
    private final int[] answeredByLatency = new int[LatencyBuckets.COUNT];

    RouteFiguresData toData(Key key) {
      RouteFiguresData.Builder data =
          RouteFiguresData.newBuilder()
              .setRoute(key.route())
              .setNewVersion(key.isNew())
              .setSent(sent)
              .setFailed(failed);
      for (int count : answeredByLatency) {
        data.addAnswered(count);
      }
      return data.build();
    }
  }
}
