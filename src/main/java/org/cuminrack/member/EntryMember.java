package org.cuminrack.member;

/**
 * An entry with an open session.
 *
 * @param sessionId the session id; a restarted entry gets a new one
 * @param httpAddress host and port for callers and upstreams
 * @param wireAddress host and port for other entries
 * @param stopping true once its planned stop has begun: it owns no pool and is not offered to
 *     callers
 */
public record EntryMember(
    String name,
    long sessionId,
    String dataCentre,
    String httpAddress,
    String wireAddress,
    boolean stopping) {}
