package org.cuminrack.member;

/** Why control brought no answer. */
public sealed interface ControlFailure {

  /** Says what happened, for people. */
  String detail();

  /** No control VM could take it: nothing was or will be done. */
  record Unavailable(String detail) implements ControlFailure {}

  /** An answer was lost: it may have been done, or be done yet. */
  record Unknown(String detail) implements ControlFailure {}

  /** Control answered that the request makes no sense: nothing was done. */
  record Refused(String detail) implements ControlFailure {}
}
