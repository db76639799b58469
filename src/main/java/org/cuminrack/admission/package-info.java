/** What the data path asks of the pools: the right to run a request on an upstream. */
package org.cuminrack.admission;
