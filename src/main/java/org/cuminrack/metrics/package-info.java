/** The metrics of a process, in the Prometheus format. */
package org.cuminrack.metrics;
