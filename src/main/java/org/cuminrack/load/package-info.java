/** Open-loop load against entries, and experiments with the decisions in virtual time. */
package org.cuminrack.load;
