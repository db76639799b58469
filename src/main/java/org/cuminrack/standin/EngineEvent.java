package org.cuminrack.standin;

/**
 * An event that a step produced for one generation.
 *
 * @param generationId the generation that the event belongs to
 * @param index the token's index; for an end event, the number of tokens produced
 * @param kind a token or one of the end events
 */
public record EngineEvent(String generationId, int index, Kind kind) {

  /** The kind of an event. */
  public enum Kind {
    /** One token. */
    TOKEN,
    /** The output ended on its own. */
    STOP,
    /** The output was cut off at the token limit. */
    LENGTH
  }
}
