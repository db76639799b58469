package org.cuminrack.gateway;

import java.time.Duration;

/**
 * Limits of a gateway.
 *
 * @param retryShare repeated sends that all gateways together may make, as a share of requests
 * @param retrySlack repeated sends that are allowed beside that
 * @param upstreamSilence how long an upstream may announce nothing before it is avoided
 */
public record GatewaySettings(double retryShare, double retrySlack, Duration upstreamSilence) {}
