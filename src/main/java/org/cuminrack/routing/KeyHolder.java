package org.cuminrack.routing;

import java.util.OptionalInt;

/**
 * The organisation that an API key belongs to.
 *
 * @param priority overrides the priority of the route; 0 is the most urgent
 */
public record KeyHolder(String organisation, OptionalInt priority) {}
