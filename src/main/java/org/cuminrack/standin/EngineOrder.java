package org.cuminrack.standin;

/** The body of an order to an engine. */
record EngineOrder(String kind, String model, String version, String role, long fencingNumber) {}
