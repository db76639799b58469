package org.cuminrack.standin;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/** An entry's answer to an announcement or a report. */
@JsonIgnoreProperties(ignoreUnknown = true)
record ReportAnswer(String reportTo, int intervalMillis) {}
