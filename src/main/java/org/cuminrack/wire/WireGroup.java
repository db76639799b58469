package org.cuminrack.wire;

/** The region and group that a message belongs to, so that regions can have groups of their own. */
public record WireGroup(String region, String group) {}
