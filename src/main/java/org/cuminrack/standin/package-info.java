/** Emulators of the model engines and the shop, for tests, the demo and experiments. */
package org.cuminrack.standin;
