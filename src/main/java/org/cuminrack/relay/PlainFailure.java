package org.cuminrack.relay;

/** Why a plain call that was sent has no answer for its caller. */
enum PlainFailure {
  /** The connection was lost before the answer was whole. */
  BROKEN,
  /** Nothing was heard in time. */
  SILENT,
  /** The answer was another request's. */
  CROSSED,
  /** The answer is larger than this entry takes. */
  TOO_LARGE
}
