/**
 * The operators' library: describes a configuration, prints it as YAML, reads it back with errors
 * by line, compares it with what control has, and sends changes.
 */
package org.cuminrack.operator;
