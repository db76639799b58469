package org.cuminrack.gateway;

/**
 * The memory copy and the event from which a generation resumes.
 *
 * @param sourceAddress the address of the engine that issued the copy's handle
 * @param copyHandle the handle of the copy at that engine
 * @param lastEventId the id of the last event that the caller received; empty if none
 */
public record ResumePoint(String sourceAddress, String copyHandle, String lastEventId) {

  ResumePoint withLastEventId(String eventId) {
    return new ResumePoint(sourceAddress, copyHandle, eventId);
  }
}
