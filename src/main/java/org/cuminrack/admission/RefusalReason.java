package org.cuminrack.admission;

/** Why a request was refused before any byte of it was sent to an upstream. */
public enum RefusalReason {
  /** The predicted wait is too long for the caller's timeout, or the queue is full. */
  OVERLOADED(503),
  /** The organisation has reached its limit of concurrent requests on this entry. */
  ORGANISATION_LIMIT(429),
  /** No upstream of the service is available to the request. */
  NO_UPSTREAM(503),
  /** The caller's deadline expired while the request was queued. */
  DEADLINE(504),
  /** The retry budget is exhausted. */
  RETRY_BUDGET(503),
  /** Too many upstreams crashed while they ran the request; it is presumed to be the cause. */
  POISON(422),
  /** This entry has no valid lease; other entries may have one. */
  NO_LEASE(503),
  /** No owner can admit the request now, usually because the pool is moving to another entry. */
  OWNER_MOVING(503),
  /** This entry is stopping. */
  STOPPING(503);

  private final int httpStatus;

  RefusalReason(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  /** Returns the HTTP status of the response to the caller. */
  public int httpStatus() {
    return httpStatus;
  }
}
