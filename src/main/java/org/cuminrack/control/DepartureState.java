package org.cuminrack.control;

import java.time.Duration;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminrack.generated.control.DepartureData;
import org.cuminrack.generated.control.DepartureRequest;

/**
 * The upstreams that drain or have left, so that a late announcement from before brings none of
 * them back after a restart of all control VMs. Keeps the latest incarnation of each. Not
 * thread-safe.
 */
final class DepartureState {
  /** The most departures at one time; the oldest one is forgotten. */
  static final int MAX_DEPARTURES = 20_000;

  /** How long a departure is kept; far longer than an announcement can be under way. */
  static final Duration RETENTION = Duration.ofHours(1);

  // Ordered by the time of the last change, the oldest first.
  private final Map<String, DepartureData> departures = new LinkedHashMap<>();

  /** Adds a departure, unless a later one of the same upstream is known. */
  void record(DepartureRequest request, long timeMillis) {
    DepartureData known = departures.get(request.getUpstream());
    DepartureRequest added = known == null ? request : join(known.getDeparture(), request);
    if (known != null && added.equals(known.getDeparture())) {
      return;
    }
    departures.remove(request.getUpstream());
    departures.put(
        request.getUpstream(),
        DepartureData.newBuilder().setDeparture(added).setSinceMillis(timeMillis).build());
    if (departures.size() > MAX_DEPARTURES) {
      departures.remove(departures.keySet().iterator().next());
    }
  }

  /** Returns the one of the later incarnation; of the same one, what both state together. */
  private static DepartureRequest join(DepartureRequest known, DepartureRequest added) {
    if (known.getStartedMillis() != added.getStartedMillis()) {
      return known.getStartedMillis() > added.getStartedMillis() ? known : added;
    }
    return known.toBuilder()
        .setSequence(Math.max(known.getSequence(), added.getSequence()))
        .setLeft(known.getLeft() || added.getLeft())
        .build();
  }

  /** Forgets the departures that are older than the retention. */
  void expire(long timeMillis) {
    Iterator<DepartureData> oldest = departures.values().iterator();
    while (oldest.hasNext() && timeMillis - oldest.next().getSinceMillis() > RETENTION.toMillis()) {
      oldest.remove();
    }
  }

  Optional<DepartureRequest> find(String upstream) {
    return Optional.ofNullable(departures.get(upstream)).map(DepartureData::getDeparture);
  }

  /** Returns all departures, the oldest first. */
  Collection<DepartureData> all() {
    return List.copyOf(departures.values());
  }

  int size() {
    return departures.size();
  }

  void restore(List<DepartureData> stored) {
    departures.clear();
    stored.forEach(data -> departures.put(data.getDeparture().getUpstream(), data));
  }
}
