package org.cuminrack.wire;

/** The reason why a call to another process failed. */
public sealed interface WireFailure {

  /** The connection could not be established; the request was not sent. */
  record Unreachable(String address, String detail) implements WireFailure {}

  /** The connection was lost or the call timed out; the request may have been sent. */
  record NoAnswer(String address, String detail) implements WireFailure {}

  /** The other process rejected the request. */
  record Rejected(String address, String detail) implements WireFailure {}
}
