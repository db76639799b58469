/** YAML files whose values remember their lines, and a reader that notes every error. */
package org.cuminrack.yaml;
