package org.cuminrack.fleet;

/**
 * A gateway's description of itself.
 *
 * @param callerAddress host and port for callers
 * @param wireAddress host and port for other gateways
 * @param serving whether it accepts requests: it has received its routing, and its planned stop has
 *     not begun
 */
public record GatewayRecord(
    String vm, String dataCentre, String callerAddress, String wireAddress, boolean serving) {}
