package org.cuminrack.load;

import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Plots the percentiles of latency histograms as SVG; both axes are logarithmic. */
final class PercentilePlot {
  private static final int WIDTH = 720;
  private static final int HEIGHT = 360;
  private static final int MARGIN = 50;
  private static final double[] PERCENTILES = {0, 50, 75, 90, 95, 98, 99, 99.5, 99.9, 99.99};
  private static final double MAX_MICROS = 1e8;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final String[] COLOURS = {"#1b6ca8", "#c0392b", "#2e7d32", "#8e44ad"};

  private PercentilePlot() {}

  static String svg(Map<String, Histogram> histograms) {
    StringBuilder svg = new StringBuilder();
    svg.append(
        text(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                + " font-family=\"sans-serif\" font-size=\"11\">%n",
            WIDTH, HEIGHT));
    addAxes(svg);
    int series = 0;
    for (Map.Entry<String, Histogram> each : histograms.entrySet()) {
      addLine(svg, each.getKey(), each.getValue(), series++);
    }
    return svg.append("</svg>\n").toString();
  }

  private static void addAxes(StringBuilder svg) {
    for (double each : PERCENTILES) {
      svg.append(text("<text x=\"%.0f\" y=\"%d\">p%s</text>%n", x(each), HEIGHT - 30, each));
    }
    for (double micros = MICROS_PER_MILLI; micros <= MAX_MICROS; micros *= 10) {
      String label = text("%.0f ms", micros / MICROS_PER_MILLI);
      svg.append(text("<text x=\"2\" y=\"%.0f\">%s</text>%n", y(micros), label));
      svg.append(
          text(
              "<line x1=\"%d\" x2=\"%d\" y1=\"%.0f\" y2=\"%.0f\" stroke=\"#ddd\"/>%n",
              MARGIN, WIDTH, y(micros), y(micros)));
    }
  }

  private static void addLine(StringBuilder svg, String name, Histogram histogram, int series) {
    String colour = COLOURS[series % COLOURS.length];
    StringBuilder points = new StringBuilder();
    for (double each : PERCENTILES) {
      double value = (double) histogram.getValueAtPercentile(each);
      double micros = Math.max(MICROS_PER_MILLI, value);
      points.append(text("%.1f,%.1f ", x(each), y(micros)));
    }
    svg.append(
        text(
            "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"%s\"/>%n",
            colour, points));
    svg.append(
        text(
            "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>%n",
            MARGIN + 20, 20 + 14 * series, colour, name));
  }

  private static double x(double percentile) {
    double nines = -Math.log10(1 - percentile / 100);
    return MARGIN + (WIDTH - 2 * MARGIN) * nines / 4;
  }

  private static double y(double micros) {
    double share =
        Math.log10(micros / MICROS_PER_MILLI) / Math.log10(MAX_MICROS / MICROS_PER_MILLI);
    return HEIGHT - MARGIN - (HEIGHT - 2 * MARGIN) * Math.min(1, share);
  }

  private static String text(String format, Object... values) {
    return String.format(Locale.ROOT, format, values);
  }
}
