package org.cuminrack.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The ids that requests have in one pool's core, by who asked. */
final class RequestIds {
  private final Map<Requester, Long> ids = new HashMap<>();
  private final Map<Long, Requester> requesters = new HashMap<>();
  private long last;

  long idOf(Requester requester) {
    Long known = ids.get(requester);
    return known != null ? known : create(requester);
  }

  Optional<Long> find(Requester requester) {
    return Optional.ofNullable(ids.get(requester));
  }

  Requester requesterOf(long id) {
    return requesters.get(id);
  }

  void forget(long id) {
    Requester requester = requesters.remove(id);
    if (requester != null) {
      ids.remove(requester);
    }
  }

  /** Returns the requests of sessions that are not among these. */
  List<Long> ofOthers(Set<Long> sessions) {
    List<Long> others = new ArrayList<>();
    requesters.forEach(
        (id, requester) -> {
          if (!sessions.contains(requester.session())) {
            others.add(id);
          }
        });
    return others;
  }

  private long create(Requester requester) {
    long id = ++last;
    ids.put(requester, id);
    requesters.put(id, requester);
    return id;
  }
}
