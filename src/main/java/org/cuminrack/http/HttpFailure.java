package org.cuminrack.http;

/** The reason why an HTTP call has no response. */
public sealed interface HttpFailure {

  /** The connection could not be established; no byte of the request was sent. */
  record Unreachable(String address, String detail) implements HttpFailure {}

  /** The connection was lost or the call timed out; bytes may have been sent. */
  record NoAnswer(String address, String detail) implements HttpFailure {}
}
