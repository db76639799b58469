package org.cuminrack.wire;

/** The region and group of a message. Group names are scoped by region. */
public record WireGroup(String region, String group) {}
