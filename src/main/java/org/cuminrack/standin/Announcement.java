package org.cuminrack.standin;

/**
 * An upstream's announcement to an entry; docs/PROTOCOL.md describes the fields.
 *
 * @param memoryTokens 0 for a plain service
 * @param model null for a plain service
 * @param version null for a plain service
 */
public record Announcement(
    String upstream,
    String bootId,
    String dataCentre,
    String service,
    String address,
    int coldLimit,
    int warmLimit,
    int memoryTokens,
    boolean checksFencing,
    String model,
    String version) {}
