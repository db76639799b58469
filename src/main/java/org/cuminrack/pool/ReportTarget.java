package org.cuminrack.pool;

/**
 * Where an upstream sends its reports.
 *
 * @param reportTo host and port of the entry that owns its pool
 * @param intervalMillis interval between reports
 */
public record ReportTarget(String reportTo, long intervalMillis) {}
