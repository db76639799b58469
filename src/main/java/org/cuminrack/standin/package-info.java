/** Emulators of model engines and of the shop, for tests, the demo and experiments. */
package org.cuminrack.standin;
