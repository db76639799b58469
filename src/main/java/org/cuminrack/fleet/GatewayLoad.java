package org.cuminrack.fleet;

import java.util.OptionalDouble;

/**
 * What a gateway says of its room.
 *
 * @param use the used fraction of its processor, link, descriptors or memory, whichever is used
 *     most; empty if it is not stated
 */
public record GatewayLoad(GatewaySize size, OptionalDouble use) {
  /** Nothing is stated. */
  public static final GatewayLoad UNKNOWN =
      new GatewayLoad(GatewaySize.UNKNOWN, OptionalDouble.empty());
}
