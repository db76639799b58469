/** Control and entry as processes: their services in order, their state dump and metrics. */
package org.cuminrack.process;
