package org.cuminrack.load;

import java.time.Duration;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.cuminrack.admission.Priority;

/**
 * The metrics of a set of requests, as their callers see them.
 *
 * @param offered requests that arrived
 * @param completed requests answered completely
 * @param withinTargets requests answered completely and within {@link LatencyTargets}
 * @param withinTargetsTokens number of tokens in the responses within the targets
 * @param stallMillis total time in gaps longer than {@link LatencyTargets#STALL_AFTER}, over all
 *     requests
 * @param longestGapMillis longest time between two tokens of a request
 * @param gapMicros times between two tokens of a request
 * @param firstTokenMicros times from arrival to the first token
 * @param interactiveFirstTokenMicros times from arrival to the first token, of interactive requests
 *     only
 */
public record RequestMetrics(
    int offered,
    int completed,
    int refused,
    int timedOut,
    int lost,
    int withinTargets,
    long withinTargetsTokens,
    double stallMillis,
    double longestGapMillis,
    Histogram gapMicros,
    Histogram firstTokenMicros,
    Histogram interactiveFirstTokenMicros) {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final double PERCENT = 100;

  static RequestMetrics of(Collection<RequestRecord> records) {
    Map<RequestOutcome, Integer> outcomes = new EnumMap<>(RequestOutcome.class);
    Histogram gaps = new Histogram(SIGNIFICANT_DIGITS);
    Histogram firstTokens = new Histogram(SIGNIFICANT_DIGITS);
    Histogram interactiveFirstTokens = new Histogram(SIGNIFICANT_DIGITS);
    int withinTargets = 0;
    long withinTargetsTokens = 0;
    double stallMicros = 0;
    for (RequestRecord each : records) {
      outcomes.merge(each.outcome(), 1, Integer::sum);
      stallMicros += addGaps(each, gaps);
      if (each.hasFirstToken()) {
        long micros = each.timeToFirstTokenNanos() / NANOS_PER_MICRO;
        firstTokens.recordValue(micros);
        if (each.request().trafficClass().priority() == Priority.INTERACTIVE) {
          interactiveFirstTokens.recordValue(micros);
        }
      }
      if (each.outcome() == RequestOutcome.COMPLETED && isWithinTargets(each)) {
        withinTargets++;
        withinTargetsTokens += each.tokens();
      }
    }
    return new RequestMetrics(
        records.size(),
        outcomes.getOrDefault(RequestOutcome.COMPLETED, 0),
        outcomes.getOrDefault(RequestOutcome.REFUSED, 0),
        outcomes.getOrDefault(RequestOutcome.TIMED_OUT, 0),
        outcomes.getOrDefault(RequestOutcome.LOST, 0),
        withinTargets,
        withinTargetsTokens,
        stallMicros / MICROS_PER_MILLI,
        gaps.getMaxValue() / MICROS_PER_MILLI,
        gaps,
        firstTokens,
        interactiveFirstTokens);
  }

  /** Returns the number of requests that were not refused. */
  public int admitted() {
    return offered - refused;
  }

  /** Returns the mean stall time of an admitted request, in milliseconds. */
  public double stallMillisPerAdmitted() {
    return stallMillis / Math.max(1, admitted());
  }

  /** Returns the percentage of admitted requests that were answered within the targets. */
  public double withinTargetsPercent() {
    return PERCENT * withinTargets / Math.max(1, admitted());
  }

  /** Returns the percentage of all requests that were answered completely. */
  public double completedPercent() {
    return PERCENT * completed / Math.max(1, offered);
  }

  /** Returns the percentage of all requests that were refused. */
  public double refusedPercent() {
    return PERCENT * refused / Math.max(1, offered);
  }

  /** Returns a percentile of the times between tokens, in milliseconds. */
  public double gapMillis(double percentile) {
    return gapMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  /** Returns a percentile of the times to the first token, in milliseconds. */
  public double firstTokenMillis(double percentile) {
    return firstTokenMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  /**
   * Returns a percentile of the times to the first token of interactive requests, in milliseconds.
   */
  public double interactiveFirstTokenMillis(double percentile) {
    return interactiveFirstTokenMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  private static long addGaps(RequestRecord record, Histogram gaps) {
    long stallMicros = 0;
    long stallAfterMicros = LatencyTargets.STALL_AFTER.toNanos() / NANOS_PER_MICRO;
    for (int i = 0; i < record.gapCount(); i++) {
      int gap = record.gapMicros(i);
      gaps.recordValue(gap);
      stallMicros += gap > stallAfterMicros ? gap : 0;
    }
    return stallMicros;
  }

  private static boolean isWithinTargets(RequestRecord record) {
    if (record.timeToFirstTokenNanos() > LatencyTargets.FIRST_TOKEN.toNanos()) {
      return false;
    }
    long sumMicros = 0;
    for (int i = 0; i < record.gapCount(); i++) {
      sumMicros += record.gapMicros(i);
    }
    Duration mean = Duration.ofNanos(sumMicros * NANOS_PER_MICRO / Math.max(1, record.gapCount()));
    return mean.compareTo(LatencyTargets.BETWEEN_TOKENS) <= 0;
  }
}
