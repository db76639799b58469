package org.cuminrack.standin;

/** An order to an engine, as it comes over HTTP. */
record EngineOrder(String kind, String model, String version, String role, long fencingNumber) {}
