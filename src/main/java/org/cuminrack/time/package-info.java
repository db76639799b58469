/** An injectable clock. */
package org.cuminrack.time;
