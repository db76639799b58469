package org.cuminrack.fleet;

import java.time.Duration;

/**
 * A live gateway as a control VM knows it.
 *
 * @param age the time since the call that told its load
 */
public record LoadedGateway(GatewayRecord gateway, GatewayLoad load, Duration age) {}
