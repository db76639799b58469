package org.cuminrack.pool;

/**
 * An upstream tells that it is there.
 *
 * @param upstream its name
 * @param bootId its life; another one after each start
 * @param address host and port where it takes requests
 * @param coldLimit concurrent requests that it carries just after its start
 * @param warmLimit concurrent requests that it carries once warm
 * @param memoryTokens tokens that its key-value memory holds; 0 for a plain service
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param model the model that it has loaded; empty where none
 * @param version the model's version; empty where none
 */
public record Announcement(
    String upstream,
    String bootId,
    String dataCentre,
    String service,
    String address,
    int coldLimit,
    int warmLimit,
    long memoryTokens,
    boolean checksFencing,
    String model,
    String version) {}
