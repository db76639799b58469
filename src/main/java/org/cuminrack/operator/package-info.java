/**
 * A library for operators: builds a configuration, writes and reads it as YAML with errors by line,
 * compares it with the one that control holds, and sends changes.
 */
package org.cuminrack.operator;
