package org.cuminrack.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The upstreams of a pool by name; each holds a slot, which is its bit in a long. */
final class UpstreamTable {
  private final Map<String, UpstreamState> byName = new LinkedHashMap<>();
  private long slotsTaken;

  Collection<UpstreamState> all() {
    return byName.values();
  }

  Optional<UpstreamState> find(String upstream) {
    return Optional.ofNullable(byName.get(upstream));
  }

  Optional<UpstreamState> find(String upstream, String bootId) {
    return find(upstream).filter(each -> each.announcement().bootId().equals(bootId));
  }

  boolean hasRoom() {
    return slotsTaken != -1L;
  }

  /** Adds an upstream's life; a former life of it gives its slot up. */
  UpstreamState add(Announcement announcement, InheritedWork inherited, long nowNanos) {
    remove(announcement.upstream());
    int slot = Long.numberOfTrailingZeros(~slotsTaken);
    UpstreamState state = new UpstreamState(announcement, slot, inherited, nowNanos);
    slotsTaken |= 1L << slot;
    byName.put(announcement.upstream(), state);
    return state;
  }

  Optional<UpstreamState> remove(String upstream) {
    UpstreamState removed = byName.remove(upstream);
    if (removed != null) {
      slotsTaken &= ~(1L << removed.slot());
    }
    return Optional.ofNullable(removed);
  }

  /** Forgets upstreams that have been silent for long, and returns them. */
  List<UpstreamState> removeGone(long nowNanos) {
    List<UpstreamState> gone = new ArrayList<>();
    Iterator<UpstreamState> all = byName.values().iterator();
    while (all.hasNext()) {
      UpstreamState each = all.next();
      if (each.isGone(nowNanos)) {
        all.remove();
        slotsTaken &= ~(1L << each.slot());
        gone.add(each);
      }
    }
    return gone;
  }

  /** Returns the upstreams that may have new work of a request, whatever their load. */
  List<UpstreamState> candidates(QueuedRequest request, PoolContext context) {
    List<UpstreamState> candidates = new ArrayList<>(byName.size());
    for (UpstreamState each : byName.values()) {
      boolean excluded = request.request().excludedUpstreams().contains(each.name());
      if (!excluded && each.isAvailable(context.rules(), context.nowNanos())) {
        candidates.add(each);
      }
    }
    return candidates;
  }

  /** Tells whether any upstream may have new work at all. */
  boolean anyAvailable(PoolContext context) {
    for (UpstreamState each : byName.values()) {
      if (each.isAvailable(context.rules(), context.nowNanos())) {
        return true;
      }
    }
    return false;
  }

  int occupied() {
    int occupied = 0;
    for (UpstreamState each : byName.values()) {
      occupied += each.occupied();
    }
    return occupied;
  }
}
