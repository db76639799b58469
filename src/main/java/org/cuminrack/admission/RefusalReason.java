package org.cuminrack.admission;

/** Why a request was given up before any byte of it was sent to an upstream. */
public enum RefusalReason {
  /** The predicted wait is longer than the caller's deadline allows. */
  OVERLOADED(503),
  /** The organisation holds its whole share. */
  ORGANISATION_LIMIT(429),
  /** No upstream of the service is known, or all are drained or retired. */
  NO_UPSTREAM(503),
  /** The caller's deadline passed while the request waited. */
  DEADLINE(504),
  /** Repeated attempts have used the retry budget up. */
  RETRY_BUDGET(503),
  /** The request crashed upstreams before. */
  POISON(422),
  /** This entry holds no fresh lease; other entries may. */
  NO_LEASE(503),
  /** The pool is between two owners. */
  OWNER_MOVING(503),
  /** This entry is stopping. */
  STOPPING(503);

  private final int httpStatus;

  RefusalReason(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  /** Returns the HTTP status that callers see. */
  public int httpStatus() {
    return httpStatus;
  }
}
