package org.cuminrack.relay;

/** The reason why a plain call that was sent has no usable response. */
enum PlainFailure {
  /** The connection was lost, or the end of the response cannot be told from a lost connection. */
  BROKEN,
  /** No response was received in time. */
  SILENT,
  /** The response belongs to another request. */
  WRONG_REQUEST_ID,
  /** The response exceeds the size limit of this entry. */
  TOO_LARGE
}
