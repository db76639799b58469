/** The clock, as an interface. */
package org.cuminrack.time;
