package org.cuminrack.http;

/** Why an HTTP call brought no answer. */
public sealed interface HttpFailure {

  /** No connection could be made: no byte of the request was sent. */
  record Unreachable(String address, String detail) implements HttpFailure {}

  /** The connection was lost, or time ran out, after bytes may have been sent. */
  record NoAnswer(String address, String detail) implements HttpFailure {}
}
