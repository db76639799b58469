package org.cuminrack.load;

import java.time.Duration;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.cuminrack.admission.Priority;

/**
 * What callers saw of a set of requests.
 *
 * @param offered requests that arrived
 * @param whole requests answered whole
 * @param withinTargets requests answered whole within {@link Targets}
 * @param withinTargetsTokens tokens of the answers within targets
 * @param stallMillis time in gaps above {@link Targets#STALL_AFTER}, over all requests
 * @param longestStallMillis the longest gap between two tokens
 * @param gapMicros times between tokens
 * @param firstTokenMicros times from arrival to the first token
 * @param interactiveMicros the same, of interactive requests only
 */
public record RunMetrics(
    int offered,
    int whole,
    int refused,
    int timedOut,
    int lost,
    int withinTargets,
    long withinTargetsTokens,
    double stallMillis,
    double longestStallMillis,
    Histogram gapMicros,
    Histogram firstTokenMicros,
    Histogram interactiveMicros) {
  private static final int DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final double PERCENT = 100;

  static RunMetrics of(Collection<RequestRecord> records) {
    Map<RequestEnd, Integer> ends = new EnumMap<>(RequestEnd.class);
    Histogram gaps = new Histogram(DIGITS);
    Histogram firstTokens = new Histogram(DIGITS);
    Histogram interactive = new Histogram(DIGITS);
    int withinTargets = 0;
    long withinTargetsTokens = 0;
    double stallMicros = 0;
    for (RequestRecord each : records) {
      ends.merge(each.end(), 1, Integer::sum);
      stallMicros += addGaps(each, gaps);
      if (each.hasFirstToken()) {
        long micros = each.firstTokenAfterNanos() / NANOS_PER_MICRO;
        firstTokens.recordValue(micros);
        if (each.request().trafficClass().priority() == Priority.INTERACTIVE) {
          interactive.recordValue(micros);
        }
      }
      if (each.end() == RequestEnd.WHOLE && isWithinTargets(each)) {
        withinTargets++;
        withinTargetsTokens += each.tokens();
      }
    }
    return new RunMetrics(
        records.size(),
        ends.getOrDefault(RequestEnd.WHOLE, 0),
        ends.getOrDefault(RequestEnd.REFUSED, 0),
        ends.getOrDefault(RequestEnd.TIMED_OUT, 0),
        ends.getOrDefault(RequestEnd.LOST, 0),
        withinTargets,
        withinTargetsTokens,
        stallMicros / MICROS_PER_MILLI,
        gaps.getMaxValue() / MICROS_PER_MILLI,
        gaps,
        firstTokens,
        interactive);
  }

  /** Returns the requests that the system took: all but the refused. */
  public int admitted() {
    return offered - refused;
  }

  /** Returns the stall time of the mean request that was taken, in milliseconds. */
  public double stallMillisPerAdmitted() {
    return stallMillis / Math.max(1, admitted());
  }

  /** Returns the share of the taken requests that were answered within the targets, in percent. */
  public double withinTargetsPercent() {
    return PERCENT * withinTargets / Math.max(1, admitted());
  }

  /** Returns the share of all requests that were answered whole, in percent. */
  public double wholePercent() {
    return PERCENT * whole / Math.max(1, offered);
  }

  /** Returns the share of all requests that were refused, in percent. */
  public double refusedPercent() {
    return PERCENT * refused / Math.max(1, offered);
  }

  /** Returns a percentile of the time between tokens, in milliseconds. */
  public double gapMillis(double percentile) {
    return gapMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  /** Returns a percentile of the time to the first token, in milliseconds. */
  public double firstTokenMillis(double percentile) {
    return firstTokenMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  /** Returns a percentile of interactive requests' time to the first token, in milliseconds. */
  public double interactiveMillis(double percentile) {
    return interactiveMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  private static long addGaps(RequestRecord record, Histogram gaps) {
    long stallMicros = 0;
    long stallAfterMicros = Targets.STALL_AFTER.toNanos() / NANOS_PER_MICRO;
    for (int i = 0; i < record.gaps(); i++) {
      int gap = record.gapMicros(i);
      gaps.recordValue(gap);
      stallMicros += gap > stallAfterMicros ? gap : 0;
    }
    return stallMicros;
  }

  private static boolean isWithinTargets(RequestRecord record) {
    if (record.firstTokenAfterNanos() > Targets.FIRST_TOKEN.toNanos()) {
      return false;
    }
    long sumMicros = 0;
    for (int i = 0; i < record.gaps(); i++) {
      sumMicros += record.gapMicros(i);
    }
    Duration mean = Duration.ofNanos(sumMicros * NANOS_PER_MICRO / Math.max(1, record.gaps()));
    return mean.compareTo(Targets.BETWEEN_TOKENS) <= 0;
  }
}
