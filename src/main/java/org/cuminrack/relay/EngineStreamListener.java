package org.cuminrack.relay;

import java.time.Duration;

/** Hears how a generation goes; always on the exchange's I/O thread. */
interface EngineStreamListener {

  /** Tells whether the right to send holds at this instant. */
  boolean maySend();

  /** The request is on its way; the engine may run it. */
  void sent();

  /** The next token, or the end. */
  void token(TokenData token, byte[] data);

  /** The tokens of one read have been handed on. */
  void turnEnded();

  /** Nothing was sent; the generation did not begin. */
  void notSent(NotSent reason);

  /** The right to send ended while the request left; the engine was told to cancel it. */
  void late();

  /** The engine answered with an error and ran nothing. */
  void refused(int status, Duration retryAfter);

  /** The generation can't be completed. */
  void lost(EngineLoss loss);
}
