package org.cuminrack.member;

/**
 * An entry that holds a session.
 *
 * @param sessionId the session; a restarted entry has a new one
 * @param httpAddress host and port where callers and upstreams connect
 * @param wireAddress host and port where other entries connect
 * @param stopping true once it has begun a planned stop: it owns no pool and is not handed out
 */
public record EntryMember(
    String name,
    long sessionId,
    String dataCentre,
    String httpAddress,
    String wireAddress,
    boolean stopping) {}
