/** The consensus protocol of the replicated log, as a deterministic state machine without I/O. */
package org.cuminrack.quorum.internal;
