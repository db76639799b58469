package org.cuminrack.rollout;

import java.util.Arrays;

/**
 * What upstreams of one version, or of several former ones, answered to the requests of one route.
 * Immutable.
 */
public final class RouteFigures {
  /** Figures of no request. */
  public static final RouteFigures NONE = new RouteFigures(0, 0, new int[LatencyBuckets.COUNT]);

  private final int sent;
  private final int failed;
  private final int[] answeredByLatency;

  private RouteFigures(int sent, int failed, int[] answeredByLatency) {
    this.sent = sent;
    this.failed = failed;
    this.answeredByLatency = answeredByLatency;
  }

  /**
   * Returns figures.
   *
   * @param sent the requests that may have reached an upstream
   * @param failed those that failed or whose answer was lost
   * @param answeredByLatency the other answers, see {@link LatencyBuckets}; missing buckets are 0
   */
  public static RouteFigures of(int sent, int failed, int[] answeredByLatency) {
    return new RouteFigures(sent, failed, Arrays.copyOf(answeredByLatency, LatencyBuckets.COUNT));
  }

  public int sent() {
    return sent;
  }

  public int failed() {
    return failed;
  }

  /** Returns the number of answers in a bucket. */
  public int answered(int bucket) {
    return answeredByLatency[bucket];
  }

  /** Returns the number of answers in a bucket and all slower ones. */
  public int answeredFrom(int bucket) {
    return Arrays.stream(answeredByLatency).skip(bucket).sum();
  }

  /** Returns the number of requests whose outcome is known. */
  public int ended() {
    return failed + answeredFrom(0);
  }

  /** Returns the sum of two figures. */
  public RouteFigures plus(RouteFigures other) {
    return combine(other, 1);
  }

  /** Returns what was added since earlier figures of the same counter. */
  public RouteFigures since(RouteFigures earlier) {
    return combine(earlier, -1);
  }

  private RouteFigures combine(RouteFigures other, int sign) {
    int[] answered = new int[LatencyBuckets.COUNT];
    for (int i = 0; i < answered.length; i++) {
      answered[i] = Math.max(0, answeredByLatency[i] + sign * other.answeredByLatency[i]);
    }
    return new RouteFigures(
        Math.max(0, sent + sign * other.sent), Math.max(0, failed + sign * other.failed), answered);
  }
}
