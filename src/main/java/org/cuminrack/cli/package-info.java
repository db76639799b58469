/** The commands of the binary, with their arguments and exit codes. */
package org.cuminrack.cli;
