package org.cuminrack.pool;

/**
 * Where an upstream sends its reports.
 *
 * @param reportTo host and port of the entry that owns its pool
 * @param intervalMillis how often
 */
public record ReportTarget(String reportTo, long intervalMillis) {}
