package org.cuminrack.operator;

/** What control answered to a change. */
public sealed interface ChangeReply {

  /** It is committed and will never revert. */
  record Accepted(long revision) implements ChangeReply {}

  /**
   * Another change came first; nothing was changed.
   *
   * @param key the object, as kind/name
   * @param present the object as it is now, as JSON; {@code null} where it does not exist
   */
  record Conflict(String key, long expected, long found, String present) implements ChangeReply {}

  /** The change is wrong; nothing was changed. */
  record Invalid(String detail) implements ChangeReply {}

  /** Nobody can say yet: send it again with the same change id. */
  record Unknown(String detail) implements ChangeReply {}
}
