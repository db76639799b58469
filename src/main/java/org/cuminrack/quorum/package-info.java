/** The replicated log: its interfaces and the replica service. */
package org.cuminrack.quorum;
