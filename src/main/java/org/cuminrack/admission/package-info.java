/** The interface through which the data path requests admission of a request to an upstream. */
package org.cuminrack.admission;
