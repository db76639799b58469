package org.cuminrack.load;

import java.time.Duration;
import java.util.List;

/**
 * The options of a load run against entries.
 *
 * @param entries addresses of the entries as {@code HOST:PORT}, used in round-robin order
 * @param generationsPerSecond mean rate of the generations
 * @param arrivalPeriod length of time over which requests arrive
 * @param seed seed of the arrivals
 * @param reportFolder folder for the CSV file and the plot; empty to write none
 */
public record LoadOptions(
    List<String> entries,
    double generationsPerSecond,
    Duration arrivalPeriod,
    long seed,
    String reportFolder) {}
