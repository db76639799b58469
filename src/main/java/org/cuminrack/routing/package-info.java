/** Versioned routing table: which requests go to which services, and under which limits. */
package org.cuminrack.routing;
