package org.cuminrack.pool;

/**
 * An announcement, by which an upstream registers itself.
 *
 * @param upstream its name
 * @param bootId identifies the boot of the upstream; new after each start
 * @param address host and port where it accepts requests
 * @param coldLimit maximum concurrent requests just after its start
 * @param warmLimit maximum concurrent requests once warm
 * @param memoryTokens capacity of its KV cache in tokens; 0 for a plain service
 * @param checksFencing whether it rejects commands with an old fencing number
 * @param model the loaded model; empty for none
 * @param version the model's version; empty for none
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
