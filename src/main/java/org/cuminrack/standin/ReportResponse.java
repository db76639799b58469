package org.cuminrack.standin;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/** An entry's response to an announcement or a report. */
@JsonIgnoreProperties(ignoreUnknown = true)
record ReportResponse(String reportTo, int intervalMillis) {}
