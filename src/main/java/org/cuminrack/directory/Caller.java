package org.cuminrack.directory;

/**
 * Who asks for gateways.
 *
 * @param dataCentre the caller's data centre; empty if unknown
 * @param key the same for each look-up of one caller; may be shared by several
 */
public record Caller(String dataCentre, String key) {}
