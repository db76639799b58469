package org.cuminrack.member;

/** Why a call to control failed. */
public sealed interface ControlFailure {

  /** Returns a human-readable description. */
  String detail();

  /** No control VM could accept the request: it was not and will not be executed. */
  record Unavailable(String detail) implements ControlFailure {}

  /** No response arrived: the request may have been executed, or may still be. */
  record Unknown(String detail) implements ControlFailure {}

  /** Control rejected the request as invalid: it was not executed. */
  record Refused(String detail) implements ControlFailure {}
}
