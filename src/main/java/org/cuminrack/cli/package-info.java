/** The commands of the binary, their arguments and exit codes. */
package org.cuminrack.cli;
