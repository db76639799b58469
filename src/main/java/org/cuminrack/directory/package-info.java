/**
 * Decides which gateways a caller is told of, so that load evens out over gateways of different
 * size and use though callers choose among them at random. Decision code only.
 */
package org.cuminrack.directory;
