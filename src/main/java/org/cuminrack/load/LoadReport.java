package org.cuminrack.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** The report of a load run as text, CSV and plot. */
final class LoadReport {
  private static final double[] PERCENTILES = {50, 90, 95, 99, 99.9, 100};
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final RequestMetrics metrics;
  private final double seconds;

  private LoadReport(RequestMetrics metrics, double seconds) {
    this.metrics = metrics;
    this.seconds = seconds;
  }

  static LoadReport of(RequestMetrics metrics, Duration arrivalPeriod) {
    return new LoadReport(metrics, arrivalPeriod.toMillis() / MILLIS_PER_SECOND);
  }

  String text() {
    StringBuilder text = new StringBuilder();
    text.append(
        format(
            "generations offered=%d whole=%d refused=%d timed_out=%d lost=%d%n",
            metrics.offered(),
            metrics.completed(),
            metrics.refused(),
            metrics.timedOut(),
            metrics.lost()));
    text.append(
        format(
            "goodput_per_second=%.2f goodput_tokens_per_second=%.0f within_targets_percent=%.2f%n",
            metrics.withinTargets() / seconds,
            metrics.withinTargetsTokens() / seconds,
            metrics.withinTargetsPercent()));
    text.append(
        format(
            "stall_ms_per_admitted=%.2f longest_gap_ms=%.1f%n",
            metrics.stallMillisPerAdmitted(), metrics.longestGapMillis()));
    histograms().forEach((name, histogram) -> text.append(percentilesLine(name, histogram)));
    return text.toString();
  }

  String csv() {
    StringBuilder csv = new StringBuilder("figure,percentile,milliseconds\n");
    histograms()
        .forEach(
            (name, histogram) -> {
              for (double each : PERCENTILES) {
                csv.append(format("%s,%s,%.3f%n", name, each, millis(histogram, each)));
              }
            });
    return csv.toString();
  }

  /** Writes the CSV file and the plot to a folder; does nothing if the folder name is empty. */
  void write(String folder) {
    if (folder.isEmpty()) {
      return;
    }
    try {
      Path path = Files.createDirectories(Path.of(folder));
      Files.writeString(path.resolve("load.csv"), csv());
      Files.writeString(path.resolve("load.svg"), PercentilePlot.svg(histograms()));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Map<String, Histogram> histograms() {
    Map<String, Histogram> histograms = new LinkedHashMap<>();
    histograms.put("first_token", metrics.firstTokenMicros());
    histograms.put("interactive_first_token", metrics.interactiveFirstTokenMicros());
    histograms.put("between_tokens", metrics.gapMicros());
    return histograms;
  }

  private static String percentilesLine(String name, Histogram histogram) {
    StringBuilder text = new StringBuilder(name);
    for (double each : PERCENTILES) {
      text.append(format(" p%s=%.1fms", each, millis(histogram, each)));
    }
    return text.append('\n').toString();
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  private static String format(String format, Object... values) {
    return String.format(Locale.ROOT, format, values);
  }
}
