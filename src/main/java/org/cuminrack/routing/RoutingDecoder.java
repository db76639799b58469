package org.cuminrack.routing;

import io.vavr.control.Either;

/** Reads a routing document in the form that operators send. */
@FunctionalInterface
public interface RoutingDecoder {

  /** Returns the table, or what is wrong with the document. */
  Either<String, RoutingTable> decode(byte[] document);
}
