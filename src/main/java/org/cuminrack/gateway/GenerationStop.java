package org.cuminrack.gateway;

import java.util.Optional;

/**
 * Whether an engine may have stopped a generation on request. It then closes the connection without
 * the end of the stream, which looks like the end of an unframed one. Confined to one I/O thread.
 */
final class GenerationStop {
  private boolean pending;
  private boolean unconfirmed;
  private boolean endAwaitsAnswer;

  /** What the end of a connection means. */
  enum End {
    /** The response has ended. */
    OF_RESPONSE,
    /** The engine may have stopped the generation. */
    OF_GENERATION_STOP,
    /** The engine's answer to the request to stop decides. */
    UNDECIDED
  }

  /** The engine is being told to stop the generation. */
  void requested() {
    pending = true;
  }

  /** Returns what the end of the connection means. */
  End connectionEnded() {
    endAwaitsAnswer = pending;
    if (pending) {
      return End.UNDECIDED;
    }
    return unconfirmed ? End.OF_GENERATION_STOP : End.OF_RESPONSE;
  }

  /**
   * The engine has stated that it did not stop the generation. Returns what the end of the
   * connection means, if it has ended meanwhile.
   */
  Optional<End> rejected() {
    return answered();
  }

  /**
   * It is unknown whether the engine has stopped the generation. Returns what the end of the
   * connection means, if it has ended meanwhile.
   */
  Optional<End> unconfirmed() {
    unconfirmed = true;
    return answered();
  }

  private Optional<End> answered() {
    pending = false;
    return endAwaitsAnswer ? Optional.of(connectionEnded()) : Optional.empty();
  }
}
