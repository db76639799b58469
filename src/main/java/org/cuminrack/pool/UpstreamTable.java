package org.cuminrack.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The upstreams of a pool by name; each holds a slot, which is its bit in a long. */
final class UpstreamTable {
  private final PoolContext context;
  private final FormerOwner formerOwner = new FormerOwner();
  private final Map<String, UpstreamState> byName = new LinkedHashMap<>();
  private long usedSlots;

  UpstreamTable(PoolContext context) {
    this.context = context;
  }

  void formerOwnerMayAdmit() {
    formerOwner.mayAdmit();
  }

  void formerOwnerStopped(long stoppedNanos) {
    formerOwner.stopped(stoppedNanos);
    all().forEach(each -> each.formerOwnerStopped(formerOwner.completeReportsFromNanos()));
  }

  /** Takes an announcement; a life that wasn't known replaces the former one. */
  void announced(Announcement announcement) {
    long nowNanos = context.nowNanos();
    Optional<UpstreamState> known = find(announcement.upstream(), announcement.bootId());
    if (known.isPresent()) {
      known.get().updateAnnouncement(announcement, nowNanos);
      return;
    }
    remove(announcement.upstream());
    if (hasRoom()) {
      add(announcement, formerOwner.inheritedWork(nowNanos), nowNanos);
    }
  }

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
    return usedSlots != -1L;
  }

  /** Adds an upstream's life; a former life of it gives its slot up. */
  UpstreamState add(Announcement announcement, InheritedWork inherited, long nowNanos) {
    remove(announcement.upstream());
    int slot = Long.numberOfTrailingZeros(~usedSlots);
    UpstreamState state = new UpstreamState(announcement, slot, inherited, nowNanos);
    usedSlots |= 1L << slot;
    byName.put(announcement.upstream(), state);
    return state;
  }

  void remove(String upstream) {
    UpstreamState removed = byName.remove(upstream);
    if (removed != null) {
      usedSlots &= ~(1L << removed.slot());
      context.prefixes().cleared(removed.slot());
    }
  }

  /** Forgets upstreams that have been silent for long. */
  void removeSilent() {
    List<String> silent = new ArrayList<>();
    for (UpstreamState each : byName.values()) {
      if (each.isExpired(context.nowNanos())) {
        silent.add(each.name());
      }
    }
    silent.forEach(this::remove);
  }

  /** Returns the upstreams that may have new work of a request, whatever their load. */
  List<UpstreamState> candidates(QueuedRequest request) {
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
  boolean anyAvailable() {
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
