package org.cuminrack.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What gateways reported of one roll-out, compared by route and over all routes. Reports are
 * totals, so that a new leader has all evidence after one report of each gateway. Not thread-safe.
 */
public final class VersionEvidence {
  private static final String ALL_ROUTES = "all routes";

  private final Map<Counter, RouteFigures> reported = new HashMap<>();
  private final Map<String, RouteBaseline> baselines = new HashMap<>();
  private final Map<String, RouteFigures> unjudged = new HashMap<>();
  private final Map<String, BadVersionSums> tests = new HashMap<>();
  private long sentToNew;
  private long sentToFormer;
  private long maxAgeMillis;

  /**
   * Records a gateway's totals.
   *
   * @param gateway identifies one run of a gateway's process
   * @param isNew whether they are of the new version
   */
  public void record(String gateway, String route, boolean isNew, RouteFigures totals) {
    RouteFigures before =
        reported.getOrDefault(new Counter(gateway, route, isNew), RouteFigures.NONE);
    if (totals.sent() < before.sent() || totals.ended() < before.ended()) {
      // An older report that was overtaken.
      return;
    }
    reported.put(new Counter(gateway, route, isNew), totals);
    RouteFigures added = totals.since(before);
    if (isNew) {
      sentToNew += added.sent();
      unjudged.merge(route, added, RouteFigures::plus);
    } else {
      sentToFormer += added.sent();
      baselines.computeIfAbsent(route, key -> new RouteBaseline()).add(added);
    }
  }

  /** Records for how long a gateway has known of the roll-out. */
  public void recordAge(long ageMillis) {
    maxAgeMillis = Math.max(maxAgeMillis, ageMillis);
  }

  /** Returns the longest time for which a gateway has known of the roll-out. */
  public long maxAgeMillis() {
    return maxAgeMillis;
  }

  /**
   * Judges the outcomes recorded since the last call; those of a route wait until there is enough
   * to compare with.
   *
   * @param evenAlone whether to judge also by the failures of routes that the former versions have
   *     hardly served
   */
  public void judge(boolean evenAlone) {
    unjudged
        .entrySet()
        .removeIf(
            entry -> {
              RouteBaseline baseline =
                  baselines.computeIfAbsent(entry.getKey(), key -> new RouteBaseline());
              boolean judged = evenAlone || baseline.isSufficient();
              if (judged) {
                judge(entry.getKey(), entry.getValue(), baseline);
              }
              return judged;
            });
  }

  private void judge(String route, RouteFigures added, RouteBaseline baseline) {
    int bad = added.failed() + added.answeredFrom(baseline.slowFromBucket());
    double usualBadShare = baseline.badShare();
    test(route).add(bad, added.ended(), usualBadShare);
    test(ALL_ROUTES).add(bad, added.ended(), usualBadShare);
  }

  private BadVersionSums test(String key) {
    return tests.computeIfAbsent(key, each -> new BadVersionSums());
  }

  /** Returns where and how often the new version is bad; empty if it isn't shown to be. */
  public Optional<String> badReason() {
    return tests.entrySet().stream()
        .filter(entry -> entry.getValue().isBad())
        .map(
            entry ->
                "%s: %d of %d answers failed or were slow"
                    .formatted(entry.getKey(), entry.getValue().bad(), entry.getValue().outcomes()))
        .sorted()
        .findFirst();
  }

  /** Returns whether some answers speak against the new version, without being proof. */
  public boolean isSuspect() {
    return tests.values().stream().anyMatch(BadVersionSums::isSuspect);
  }

  /** Returns whether the new version is shown to be as good as the former ones. */
  public boolean isGood() {
    return test(ALL_ROUTES).isGood() && !isSuspect();
  }

  /** Returns the number of judged answers of the new version. */
  public int judged() {
    return test(ALL_ROUTES).outcomes();
  }

  /** Returns the number of requests that were sent to the new version. */
  public long sentToNew() {
    return sentToNew;
  }

  /** Returns the number of requests that were sent to any version. */
  public long sent() {
    return sentToNew + sentToFormer;
  }

  private record Counter(String gateway, String route, boolean isNew) {}
}
