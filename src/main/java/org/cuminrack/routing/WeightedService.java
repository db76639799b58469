package org.cuminrack.routing;

/**
 * One of the services that a route's requests are split between.
 *
 * @param weight its share, relative to the weights of the others
 */
public record WeightedService(String service, int weight) {}
