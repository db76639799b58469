package org.cuminrack.load;

import java.time.Duration;
import java.util.List;

/**
 * How a profile is sent to entries.
 *
 * @param entries host and port of the entries, taken in turn
 * @param perSecond generations sent a second
 * @param length how long arrivals go on
 * @param seed chooses the arrivals
 * @param reportFolder where CSV and plot go; empty for nowhere
 */
public record LoadOptions(
    List<String> entries, double perSecond, Duration length, long seed, String reportFolder) {}
