package org.cuminrack.load;

import java.time.Duration;
import java.util.List;

/**
 * The options of a load run against entries.
 *
 * @param entries host and port of the entries, used in round-robin order
 * @param perSecond generations sent per second
 * @param length length of time over which requests arrive
 * @param seed seed of the arrivals
 * @param reportFolder folder for the CSV file and the plot; empty to write none
 */
public record LoadOptions(
    List<String> entries, double perSecond, Duration length, long seed, String reportFolder) {}
