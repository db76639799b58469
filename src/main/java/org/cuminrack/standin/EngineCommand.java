package org.cuminrack.standin;

/** The body of a command to an engine. */
record EngineCommand(String kind, String model, String version, String role, long fencingNumber) {}
