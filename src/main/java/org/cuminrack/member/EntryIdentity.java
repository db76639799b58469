package org.cuminrack.member;

/**
 * Who an entry is, from its settings.
 *
 * @param name its VM's name
 * @param httpAddress host and port where callers and upstreams connect
 * @param wireAddress host and port where other entries connect
 */
public record EntryIdentity(
    String name, String dataCentre, String httpAddress, String wireAddress) {}
