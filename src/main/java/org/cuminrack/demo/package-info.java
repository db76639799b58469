/** The whole path in one process, for a first look. */
package org.cuminrack.demo;
