/** The configuration objects as records, and the configuration that holds them at one revision. */
package org.cuminrack.config;
