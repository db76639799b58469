package org.cuminrack.fleet;

/**
 * A gateway as it describes itself.
 *
 * @param callerAddress host and port where callers connect
 * @param wireAddress host and port where other gateways connect
 * @param serving false once its planned stop has begun
 */
public record GatewayRecord(
    String vm, String dataCentre, String callerAddress, String wireAddress, boolean serving) {}
