/** Shares of a service's capacity among the organisations that compete for it. */
package org.cuminrack.fairshare;
