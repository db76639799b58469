package org.cuminrack.routing;

import io.vavr.control.Either;

/** Decodes a routing document in the format that operators send. */
@FunctionalInterface
public interface RoutingDecoder {

  /** Returns the table, or a description of the document's first error as the left value. */
  Either<String, RoutingTable> decode(byte[] document);
}
