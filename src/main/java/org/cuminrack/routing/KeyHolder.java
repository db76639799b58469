package org.cuminrack.routing;

import java.util.OptionalInt;

/**
 * Whom a key belongs to.
 *
 * @param priority goes before that of the route; 0 is the most urgent
 */
public record KeyHolder(String organisation, OptionalInt priority) {}
