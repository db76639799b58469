package org.cuminrack.quorum;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * How many control VMs, or data centres with all their control VMs, may be lost at the same time.
 *
 * @param vmLosses the number of VMs whose disks may be lost
 * @param dataCentreLosses the number of data centres that may be lost
 */
public record LossTolerance(int vmLosses, int dataCentreLosses) {

  public LossTolerance {
    if (vmLosses < 0) {
      throw new IllegalArgumentException("vmLosses: expected at least 0, found " + vmLosses);
    }
    if (dataCentreLosses < 0) {
      throw new IllegalArgumentException(
          "dataCentreLosses: expected at least 0, found " + dataCentreLosses);
    }
  }

  /** Returns the tolerance of a group in which a minority of so many voters may be lost. */
  public static LossTolerance ofMinority(int voterCount) {
    return new LossTolerance(Math.max(0, (voterCount - 1) / 2), 0);
  }

  /** Returns the number of voters of which a majority is left after the losses. */
  public int voterCount() {
    return 2 * Math.max(vmLosses, dataCentreLosses) + 1;
  }

  /**
   * Returns whether a majority of voters is left after the loss of any data centres.
   *
   * @param voterDataCentres the data centre of each voter
   */
  public boolean majoritySurvivesDataCentreLosses(Collection<String> voterDataCentres) {
    return votersInLostDataCentres(voterDataCentres) <= (voterDataCentres.size() - 1) / 2;
  }

  /**
   * Returns the number of voters that the loss of data centres takes away at most. Voters in
   * unknown data centres, which are empty, count as if they were in one together.
   */
  public int votersInLostDataCentres(Collection<String> voterDataCentres) {
    Map<String, Integer> countByDataCentre =
        voterDataCentres.stream()
            .collect(Collectors.toMap(Function.identity(), dataCentre -> 1, Integer::sum));
    return countByDataCentre.values().stream()
        .sorted(Comparator.reverseOrder())
        .limit(dataCentreLosses)
        .mapToInt(Integer::intValue)
        .sum();
  }

  /**
   * Returns whether at least one copy is left after the losses.
   *
   * @param copyDataCentres the data centre of each VM with a copy
   */
  public boolean someCopySurvives(Collection<String> copyDataCentres) {
    return copyDataCentres.size() > vmLosses
        && new HashSet<>(copyDataCentres).size() > dataCentreLosses;
  }
}
