package org.cuminrack.gateway;

import io.undertow.util.HeaderMap;
import io.vavr.control.Either;

/** Translates HTTP headers to the gateway's types and back. */
public interface HeaderTranslation {

  /**
   * Reads the headers of a caller's request; returns a description of the first invalid header as
   * the left value.
   */
  Either<String, RequestHead> readRequest(HeaderMap headers);

  /**
   * Turns headers copied from a caller's request into those for an upstream: removes the API key
   * and headers that only a gateway may set, and sets the gateway's own.
   */
  void writeRequest(HeaderMap headers, UpstreamRequestHead head);

  /** Reads the head of an upstream's response to the attempt with this id. */
  ResponseHead readResponse(int status, HeaderMap headers, String attemptId);
}
