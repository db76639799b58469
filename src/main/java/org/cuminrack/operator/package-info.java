/**
 * A library for operators that builds configurations, writes and reads them as YAML, computes the
 * changes from the current configuration, and sends changes to control.
 */
package org.cuminrack.operator;
