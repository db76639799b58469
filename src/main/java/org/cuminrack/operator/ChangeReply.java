package org.cuminrack.operator;

/** Control's reply to a change. */
public sealed interface ChangeReply {

  /** The change is committed and will not be rolled back. */
  record Accepted(long revision) implements ChangeReply {}

  /**
   * The object is not at the expected revision; nothing was changed.
   *
   * @param key the object, as kind/name
   * @param present the current object as JSON; {@code null} if it does not exist
   */
  record Conflict(String key, long expected, long found, String present) implements ChangeReply {}

  /** The change is invalid; nothing was changed. */
  record Invalid(String detail) implements ChangeReply {}

  /** The outcome is unknown; send the change again with the same change id. */
  record Unknown(String detail) implements ChangeReply {}
}
