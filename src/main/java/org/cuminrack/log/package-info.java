/** Logs: one key=value line an event. */
package org.cuminrack.log;
