/**
 * Open-loop load generation against entries, and simulation of admission and placement policies.
 */
package org.cuminrack.load;
