package org.cuminrack.gateway;

import io.undertow.util.HeaderMap;
import io.vavr.control.Either;

/** How requests and answers say in headers what the gateway has to know. */
public interface HeaderTranslation {

  /** Reads a caller's request; the error says what is wrong with its headers. */
  Either<String, RequestHead> readRequest(HeaderMap headers);

  /**
   * Turns headers copied from a caller's request into those for an upstream: drops what only a
   * gateway may set, and sets it.
   */
  void writeRequest(HeaderMap headers, SendHead head);

  /** Reads the head of an upstream's answer to the attempt of this id. */
  AnswerHead readAnswer(int status, HeaderMap headers, String attemptId);
}
