package org.cuminrack.load;

import java.util.Locale;

/** The columns of {@link SteadyLoadTable}. */
public enum SteadyLoadColumn {
  STALL("stall_ms"),
  PREEMPTIONS("preemptions"),
  GAP_P99("gap_p99_ms"),
  FIRST_TOKEN_P95("first_p95_ms"),
  FIRST_TOKEN_P99("first_p99_ms"),
  INTERACTIVE_P99("interactive_first_p99_ms"),
  WITHIN("within_%"),
  GOODPUT("goodput_/s"),
  GOODPUT_TOKENS("goodput_tokens/s"),
  COMPLETED("whole_/s"),
  REFUSED("refused_%"),
  TIMED_OUT("timed_out"),
  LOST("lost"),
  CRASHES("crashes");

  private static final double INTEGER_FORMAT_MIN = 100;

  private final String title;

  SteadyLoadColumn(String title) {
    this.title = title;
  }

  /** Returns the column's title, with its unit. */
  public String title() {
    return title;
  }

  /** Returns the column's value in a run. */
  public double valueIn(SteadyLoadResult run) {
    RequestMetrics metrics = run.metrics();
    return switch (this) {
      case STALL -> metrics.stallMillisPerAdmitted();
      case PREEMPTIONS -> run.preemptions();
      case GAP_P99 -> metrics.gapMillis(99);
      case FIRST_TOKEN_P95 -> metrics.firstTokenMillis(95);
      case FIRST_TOKEN_P99 -> metrics.firstTokenMillis(99);
      case INTERACTIVE_P99 -> metrics.interactiveFirstTokenMillis(99);
      case WITHIN -> metrics.withinTargetsPercent();
      case GOODPUT -> run.goodputPerSecond();
      case GOODPUT_TOKENS -> run.goodputTokensPerSecond();
      case COMPLETED -> run.completedPerSecond();
      case REFUSED -> metrics.refusedPercent();
      case TIMED_OUT -> metrics.timedOut();
      case LOST -> metrics.lost();
      case CRASHES -> run.crashes();
    };
  }

  /** Formats a value for the table. */
  static String format(double value) {
    if (value >= INTEGER_FORMAT_MIN || value == Math.rint(value)) {
      return String.format(Locale.ROOT, "%.0f", value);
    }
    return String.format(Locale.ROOT, "%.2f", value);
  }
}
