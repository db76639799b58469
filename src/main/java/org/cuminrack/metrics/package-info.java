/** The metrics of a process, for Prometheus. */
package org.cuminrack.metrics;
