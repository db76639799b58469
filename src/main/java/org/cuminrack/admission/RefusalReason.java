package org.cuminrack.admission;

/** Why a request was refused before any byte of it was sent to an upstream. */
public enum RefusalReason {
  /** The predicted wait exceeds the caller's deadline. */
  OVERLOADED(503),
  /** The organisation already uses its whole share. */
  ORGANISATION_LIMIT(429),
  /** No upstream of the service is known, or all are drained or retired. */
  NO_UPSTREAM(503),
  /** The caller's deadline expired while the request was queued. */
  DEADLINE(504),
  /** The retry budget is exhausted. */
  RETRY_BUDGET(503),
  /** The request has crashed upstreams before. */
  POISON(422),
  /** This entry has no fresh lease; other entries may have one. */
  NO_LEASE(503),
  /** Ownership of the pool is moving to another entry. */
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
