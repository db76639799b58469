/** The objects of a configuration, as records, and the whole of them at one revision. */
package org.cuminrack.config;
