/** The replicated log: the interfaces, and a replica as a service. */
package org.cuminrack.quorum;
