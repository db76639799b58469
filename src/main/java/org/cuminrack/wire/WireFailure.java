package org.cuminrack.wire;

/** Why a call to another process brought no answer. */
public sealed interface WireFailure {

  /** No connection could be made: the request was not sent. */
  record Unreachable(String address, String detail) implements WireFailure {}

  /** The connection was lost, or the time ran out, after the request may have been sent. */
  record NoAnswer(String address, String detail) implements WireFailure {}

  /** The other process answered that it could not serve the request. */
  record Rejected(String address, String detail) implements WireFailure {}
}
