package org.cuminrack.gateway;

/**
 * Where a generation goes on from a copy of its memory.
 *
 * @param sourceAddress the engine that the copy is known by
 * @param copyName names the copy there
 * @param lastEventId the last event that the caller has got; empty if none
 */
public record ResumePoint(String sourceAddress, String copyName, String lastEventId) {

  ResumePoint after(String eventId) {
    return new ResumePoint(sourceAddress, copyName, eventId);
  }
}
