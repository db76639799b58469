package org.cuminrack.member;

/**
 * The identity of an entry, from its settings.
 *
 * @param name the name of its VM
 * @param httpAddress host and port for callers and upstreams
 * @param wireAddress host and port for other entries
 */
public record EntryIdentity(
    String name, String dataCentre, String httpAddress, String wireAddress) {}
