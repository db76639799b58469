/** Example configurations of two shops, built with the operators' library. */
package org.cuminrack.examples;
