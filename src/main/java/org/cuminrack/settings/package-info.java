/** The settings of processes, validated completely before any resource is opened. */
package org.cuminrack.settings;
