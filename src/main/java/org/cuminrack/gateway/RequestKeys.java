package org.cuminrack.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminrack.admission.Fingerprint;

/**
 * What a crash of an upstream can be blamed on in a request that ran there: its whole content, or
 * one of the parts of its prompt that other requests share.
 *
 * @param content the fingerprint of organisation, method, host, path and body
 * @param promptParts the fingerprints of the shared parts, in order
 * @param partIds the id of each part, for the log
 */
record RequestKeys(
    Fingerprint content, List<Fingerprint> promptParts, Map<Fingerprint, String> partIds) {

  /** The most parts of one prompt that are watched. */
  static final int MAX_PARTS = 32;

  RequestKeys {
    promptParts = List.copyOf(promptParts);
    partIds = Map.copyOf(partIds);
  }

  /**
   * Returns the keys of a request.
   *
   * @param parts the ids of all parts of the prompt; the last one is the request's own and is left
   *     out
   */
  static RequestKeys of(Fingerprint content, String service, List<String> parts) {
    List<Fingerprint> promptParts = new ArrayList<>();
    Map<Fingerprint, String> ids = new HashMap<>();
    for (String id : parts.subList(0, Math.min(MAX_PARTS, Math.max(0, parts.size() - 1)))) {
      Fingerprint part = Fingerprint.ofPromptPart(service, id);
      if (ids.put(part, id) == null) {
        promptParts.add(part);
      }
    }
    return new RequestKeys(content, promptParts, ids);
  }

  /** Returns the keys of the content alone. */
  RequestKeys withoutPromptParts() {
    return new RequestKeys(content, List.of(), Map.of());
  }

  /** Returns the parts and the content, the broadest first. */
  List<Fingerprint> all() {
    List<Fingerprint> all = new ArrayList<>(promptParts);
    all.add(content);
    return all;
  }

  /** Returns the parts other than the given one; empty for the content. */
  Set<Fingerprint> companionsOf(Fingerprint key) {
    return key.equals(content)
        ? Set.of()
        : promptParts.stream().filter(part -> !part.equals(key)).collect(Collectors.toSet());
  }

  /** Returns a key as the log shows it. */
  String describe(Fingerprint key) {
    String partId = partIds.get(key);
    return partId == null ? "content " + key.shortHex() : "prompt part " + partId;
  }
}
