package org.cuminrack.gateway;

import java.time.Duration;
import org.cuminrack.fairshare.QueuePolicy;

/**
 * Settings of a gateway's request handling.
 *
 * @param retryShare retries that all gateways together may make, as a share of requests
 * @param retrySlack retries that are allowed in addition
 * @param announcementTimeout time without an announcement after which an upstream is avoided
 * @param dataCentre the data centre of the gateway
 * @param queuePolicy how requests that wait are ordered
 */
public record GatewaySettings(
    double retryShare,
    double retrySlack,
    Duration announcementTimeout,
    String dataCentre,
    QueuePolicy queuePolicy) {}
