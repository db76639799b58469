package org.cuminrack.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
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

  /** Returns this for a state dump; the use is left out if it is not stated. */
  public Map<String, Object> toDump() {
    Map<String, Object> dump = new LinkedHashMap<>();
    dump.put("size", size);
    use.ifPresent(used -> dump.put("use", used));
    return dump;
  }
}
