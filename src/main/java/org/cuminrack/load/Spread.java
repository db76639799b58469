package org.cuminrack.load;

import java.util.Arrays;
import java.util.Collection;

/** The median, minimum and maximum of a value over several runs. */
public record Spread(double median, double min, double max) {

  /** Returns the spread of one or more values. */
  public static Spread of(Collection<Double> values) {
    double[] sorted = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    if (sorted.length == 0) {
      throw new IllegalArgumentException("values: expected one or more, found none");
    }
    int middle = sorted.length / 2;
    boolean odd = sorted.length % 2 == 1;
    double median = odd ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    return new Spread(median, sorted[0], Arrays.stream(sorted).max().getAsDouble());
  }

  @Override
  public String toString() {
    return SteadyLoadColumn.format(median)
        + " ("
        + SteadyLoadColumn.format(min)
        + "–"
        + SteadyLoadColumn.format(max)
        + ")";
  }
}
