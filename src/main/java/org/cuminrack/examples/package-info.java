/** Configurations of two shops, written with the operators' library. */
package org.cuminrack.examples;
