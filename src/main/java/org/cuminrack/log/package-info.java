/** Logging with one line of key=value pairs per event. */
package org.cuminrack.log;
