package org.cuminrack.gateway;

import io.undertow.util.HeaderMap;

/** Receives the events of a dispatch; each of the last four methods ends it. */
interface EngineDispatchListener {
  /** The head of the event stream arrived. */
  void streamStarted(int status, HeaderMap headers);

  /** A complete event arrived. */
  void event(String id, byte[] bytes);

  /** All complete events of one read were delivered. */
  void eventsRead();

  /** Nothing was sent, or another upstream answered at the address. */
  void notSent(EngineDispatch dispatch);

  /** The engine answered with an error or redirect instead of a stream. */
  void refused(EngineDispatch dispatch, RefusedResponse response);

  /** The stream is complete. */
  void streamEnded(EngineDispatch dispatch);

  /** The engine or the connection to it is lost. */
  void lost(EngineDispatch dispatch, String detail);
}
