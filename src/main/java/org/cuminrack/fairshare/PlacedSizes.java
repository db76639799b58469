package org.cuminrack.fairshare;

/** The mean size of the requests placed lately. Not thread-safe. */
final class PlacedSizes {
  private static final double WEIGHT = 0.05;

  private double meanUnits;
  private int count;

  void record(long units) {
    count++;
    meanUnits += (units - meanUnits) * Math.max(WEIGHT, 1.0 / count);
  }

  /** Returns whether a request is larger than most, so that smaller ones fit before it does. */
  boolean isLarge(long units) {
    return count > 0 && units > meanUnits;
  }
}
