package org.cuminrack.standin;

/**
 * Something a step brought forth for one generation.
 *
 * @param generationId whose event it is
 * @param index the token's index; for an end, the number of tokens made
 * @param kind a token or an end
 */
public record EngineEvent(String generationId, int index, Kind kind) {

  /** What the event says. */
  public enum Kind {
    /** One token. */
    TOKEN,
    /** The end of the output by itself. */
    STOP,
    /** The end of the output at its bound. */
    LENGTH
  }
}
