package org.cuminrack.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Maps request keys to the local ids that one pool's core uses. */
final class RequestIds {
  private final Map<RequestKey, Long> ids = new HashMap<>();
  private final Map<Long, RequestKey> keys = new HashMap<>();
  private long lastId;

  long findOrCreateId(RequestKey key) {
    Long known = ids.get(key);
    return known != null ? known : create(key);
  }

  Optional<Long> find(RequestKey key) {
    return Optional.ofNullable(ids.get(key));
  }

  RequestKey keyOf(long id) {
    return keys.get(id);
  }

  void forget(long id) {
    RequestKey key = keys.remove(id);
    if (key != null) {
      ids.remove(key);
    }
  }

  /** Returns the ids of requests of sessions other than these. */
  List<Long> idsOutside(Set<Long> sessions) {
    List<Long> outside = new ArrayList<>();
    keys.forEach(
        (id, key) -> {
          if (!sessions.contains(key.session())) {
            outside.add(id);
          }
        });
    return outside;
  }

  private long create(RequestKey key) {
    long id = ++lastId;
    ids.put(key, id);
    keys.put(id, key);
    return id;
  }
}
