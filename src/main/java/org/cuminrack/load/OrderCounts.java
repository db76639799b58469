package org.cuminrack.load;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts plain HTTP calls by outcome and records their response times. Thread-safe. */
final class OrderCounts {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int OK = 200;

  private final Histogram responseTimeMicros = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
  private int sent;
  private int succeeded;
  private int refused;
  private int unanswered;

  synchronized void recordSent() {
    sent++;
  }

  synchronized void recordResponse(int status, long micros) {
    if (status == OK) {
      succeeded++;
      responseTimeMicros.recordValue(micros);
    } else {
      refused++;
    }
  }

  synchronized void recordFailure() {
    unanswered++;
  }

  synchronized String text() {
    return "orders sent=%d whole=%d refused=%d no_answer=%d p50_ms=%.1f p99_ms=%.1f"
        .formatted(
            sent,
            succeeded,
            refused,
            unanswered,
            responseTimeMicros.getValueAtPercentile(50) / 1_000.0,
            responseTimeMicros.getValueAtPercentile(99) / 1_000.0);
  }
}
