package org.cuminrack.gateway;

/**
 * Where a generation goes on from a copy of its memory.
 *
 * @param copyAddress the engine that holds the copy
 * @param attemptId names the generation
 * @param lastEventId the last event that the caller has got; empty if none
 */
public record ResumePoint(String copyAddress, String attemptId, String lastEventId) {}
