/** The control, entry and gateway processes: startup order, state dump and metrics. */
package org.cuminrack.process;
