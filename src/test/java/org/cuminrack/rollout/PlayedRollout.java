package org.cuminrack.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Plays the requests of a service against the decision: gateways report every half second, the
 * leader decides every quarter, and gateways apply a step 300 ms later.
 */
final class PlayedRollout {
  private static final int TICK_MILLIS = 50;
  private static final int REPORT_MILLIS = 500;
  private static final int DECIDE_MILLIS = 250;
  private static final int APPLY_MILLIS = 300;
  private static final int GATEWAYS = 6;
  private static final List<String> ROUTES = List.of("read", "read", "order");
  private static final double USUAL_MILLIS = 57;
  private static final int UPSTREAMS = 4;

  /** How the new version answers; everything else is as with the former one. */
  interface Version {
    /**
     * Returns the answer to a request.
     *
     * @param loadShare the rate of requests at its upstream, as a share of that at the end
     */
    Answer answer(Random random, double seconds, String route, double loadShare);
  }

  /** One answer: failed, or slower than usual by a factor. */
  record Answer(boolean failed, double slowness) {
    static final Answer GOOD = new Answer(false, 1);
  }

  private record Counter(int gateway, String route, boolean isNew) {}

  private final Random random;
  private final Version version;
  private final double usualFailures;
  private final int requestsPerSecond;
  private final Map<Counter, RouteFigures> totals = new HashMap<>();
  private VersionRollout rollout;
  private VersionRollout applied;
  private long appliedAtMillis;
  private VersionEvidence evidence = new VersionEvidence();
  private long ledSinceMillis;
  private long stageSinceMillis;
  private boolean hasLeader = true;
  private int sent;
  private int sentToNew;
  private int sentToNewUntilEnd;
  private long endedMillis = -1;

  PlayedRollout(
      long seed, int requestsPerSecond, int seconds, double usualFailures, Version version) {
    this.random = new Random(seed);
    this.requestsPerSecond = requestsPerSecond;
    this.usualFailures = usualFailures;
    this.version = version;
    this.rollout =
        new VersionRollout(
            1,
            "shop",
            "v2",
            Set.of("v1"),
            seconds * 1000L,
            0,
            RolloutStage.TRIAL,
            RolloutDecision.TRIAL_SHARE,
            0,
            0,
            "");
    this.applied = rollout;
  }

  VersionRollout rollout() {
    return rollout;
  }

  /** Returns the time of the end; -1 if it has not ended. */
  long endedMillis() {
    return endedMillis;
  }

  int sentToNew() {
    return sentToNew;
  }

  /** Returns how many requests the new version may get if it is bad. */
  double permitted() {
    return 0.1 * sent + 50;
  }

  /** Plays until the deadline. */
  PlayedRollout play() {
    return playUntil(rollout.durationMillis());
  }

  /** Plays the time from the last call's end on. */
  PlayedRollout playUntil(long endMillis) {
    while (nowMillis < endMillis) {
      nowMillis += TICK_MILLIS;
      sendRequests();
      if (nowMillis % REPORT_MILLIS == 0) {
        report();
      }
      if (hasLeader && nowMillis % DECIDE_MILLIS == 0) {
        decide();
      }
      if (nowMillis >= appliedAtMillis) {
        applied = rollout;
      }
    }
    return this;
  }

  private long nowMillis;

  /** Ends the leader's term. */
  void loseLeader() {
    hasLeader = false;
  }

  /** Elects a leader that has the replicated state only. */
  void elect() {
    hasLeader = true;
    evidence = new VersionEvidence();
    ledSinceMillis = nowMillis;
    stageSinceMillis = nowMillis;
  }

  private void sendRequests() {
    double due = requestsPerSecond * TICK_MILLIS / 1000.0;
    int count = (int) due + (random.nextDouble() < due % 1 ? 1 : 0);
    for (int i = 0; i < count; i++) {
      String route = ROUTES.get(random.nextInt(ROUTES.size()));
      boolean isNew = goesToNew();
      Answer answer = usualAnswer();
      if (isNew && !answer.failed()) {
        int upstreams = applied.upstreams() == 0 ? UPSTREAMS : applied.upstreams();
        double loadShare = applied.share() * UPSTREAMS / upstreams;
        answer = version.answer(random, nowMillis / 1000.0, route, loadShare);
      }
      sent++;
      sentToNew += isNew ? 1 : 0;
      count(route, isNew, answer);
    }
  }

  private boolean goesToNew() {
    return switch (applied.stage()) {
      case DONE -> true;
      case ROLLED_BACK -> false;
      default -> random.nextDouble() < applied.share();
    };
  }

  private Answer usualAnswer() {
    return new Answer(random.nextDouble() < usualFailures, 1);
  }

  private void count(String route, boolean isNew, Answer answer) {
    int[] answered = new int[LatencyBuckets.COUNT];
    if (!answer.failed()) {
      double jitter = Math.exp(0.3 * random.nextGaussian());
      answered[LatencyBuckets.indexOf(USUAL_MILLIS * jitter * answer.slowness())] = 1;
    }
    Counter key = new Counter(random.nextInt(GATEWAYS), route, isNew);
    totals.merge(key, RouteFigures.of(1, answer.failed() ? 1 : 0, answered), RouteFigures::plus);
  }

  private void report() {
    totals.forEach(
        (key, figures) ->
            evidence.record("gateway-" + key.gateway(), key.route(), key.isNew(), figures));
  }

  private void decide() {
    evidence.judge(nowMillis > 3_000);
    Optional<RolloutStep> step =
        RolloutDecision.next(
            rollout,
            new RolloutDecision.Ages(
                nowMillis, nowMillis - ledSinceMillis, nowMillis - stageSinceMillis),
            evidence,
            new VersionCapacity(UPSTREAMS, UPSTREAMS * 6, UPSTREAMS * 6));
    step.ifPresent(this::commit);
  }

  private void commit(RolloutStep step) {
    rollout = rollout.after(step, nowMillis);
    stageSinceMillis = nowMillis;
    appliedAtMillis = nowMillis + APPLY_MILLIS;
    if (!rollout.stage().isRunning() && endedMillis < 0) {
      endedMillis = nowMillis;
      sentToNewUntilEnd = sentToNew;
    }
  }

  @Override
  public String toString() {
    return "%s at %d ms, %d of %d sent to the new version (%d until the end, %.0f permitted), %s"
        .formatted(
            rollout.stage(),
            endedMillis,
            sentToNew,
            sent,
            sentToNewUntilEnd,
            permitted(),
            rollout.reason());
  }
}
