/** Reads YAML files and reports all errors with their lines. */
package org.cuminrack.yaml;
