package org.cuminrack.gateway;

import io.undertow.util.HeaderMap;
import io.vavr.control.Either;

/** Translates between the headers of requests and responses and the gateway's types. */
public interface HeaderTranslation {

  /** Reads the headers of a caller's request; the left side describes an invalid header. */
  Either<String, RequestHead> readRequest(HeaderMap headers);

  /**
   * Turns headers copied from a caller's request into those for an upstream: removes headers that
   * only a gateway may set, and sets its own.
   */
  void writeRequest(HeaderMap headers, UpstreamRequestHead head);

  /** Reads the head of an upstream's response to the attempt of this id. */
  ResponseHead readResponse(int status, HeaderMap headers, String attemptId);
}
