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
    Long existing = ids.get(key);
    return existing != null ? existing : create(key);
  }

  Optional<Long> find(RequestKey key) {
    return Optional.ofNullable(ids.get(key));
  }

  RequestKey keyOf(long id) {
    return keys.get(id);
  }

  void remove(long id) {
    RequestKey key = keys.remove(id);
    if (key != null) {
      ids.remove(key);
    }
  }

  /** Returns the ids of the requests whose session is not one of these. */
  List<Long> idsOfOtherSessions(Set<Long> sessions) {
    List<Long> others = new ArrayList<>();
    keys.forEach(
        (id, key) -> {
          if (!sessions.contains(key.session())) {
            others.add(id);
          }
        });
    return others;
  }

  private long create(RequestKey key) {
    long id = ++lastId;
    ids.put(key, id);
    keys.put(id, key);
    return id;
  }
}
