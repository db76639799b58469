/** The settings of processes, checked in full before anything is opened. */
package org.cuminrack.settings;
