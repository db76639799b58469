package org.cuminrack.relay;

import java.time.Duration;

/** Receives the events of an engine stream, always on the exchange's I/O thread. */
interface EngineStreamListener {

  /** Returns whether the request may still be sent. */
  boolean maySend();

  /** The request was sent; the engine may run it. */
  void sent();

  /** Delivers the next token; the last token ends the generation. */
  void token(TokenEvent token, byte[] data);

  /** All tokens of one socket read have been delivered. */
  void readCompleted();

  /** The request was not sent, so the generation did not start. */
  void notSent(NotSentReason reason);

  /**
   * The lease or ticket expired while the request was being sent. The generation was cancelled on
   * the engine, or the engine was lost.
   */
  void expiredWhileSending();

  /** The engine responded with an error status instead of a stream. */
  void rejected(int status, Duration retryAfter);

  /** The generation cannot be completed. */
  void lost(UpstreamLoss loss);
}
