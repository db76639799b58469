package org.cuminrack.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The upstreams of a pool by name. Each has a slot, its index in bit masks of type long. */
final class UpstreamTable {
  private final PoolContext context;
  private final FormerOwner formerOwner = new FormerOwner();
  private final Map<String, UpstreamState> byName = new LinkedHashMap<>();
  private long usedSlots;

  UpstreamTable(PoolContext context) {
    this.context = context;
  }

  void formerOwnerMayAdmit() {
    formerOwner.recordMayAdmit();
  }

  void formerOwnerStopped(long stoppedNanos) {
    formerOwner.stopped(stoppedNanos);
    all().forEach(each -> each.formerOwnerStopped(formerOwner.completeReportsFromNanos()));
  }

  /**
   * Handles an announcement. A new boot id replaces the state of the former boot; an upstream
   * without a free slot is ignored.
   */
  void announced(Announcement announcement) {
    long nowNanos = context.nowNanos();
    Optional<UpstreamState> existing = find(announcement.upstream(), announcement.bootId());
    if (existing.isPresent()) {
      existing.get().updateAnnouncement(announcement, nowNanos);
      return;
    }
    remove(announcement.upstream());
    if (hasFreeSlot()) {
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

  boolean hasFreeSlot() {
    return usedSlots != -1L;
  }

  /** Adds an upstream; releases the slot of its former boot, if any. */
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
      context.prefixes().clear(removed.slot());
    }
  }

  /** Removes upstreams without a report or announcement for {@link PoolLimits#REMOVE_AFTER}. */
  void removeExpired() {
    List<String> expired = new ArrayList<>();
    for (UpstreamState each : byName.values()) {
      if (each.isExpired(context.nowNanos())) {
        expired.add(each.name());
      }
    }
    expired.forEach(this::remove);
  }

  /** Returns the available upstreams that a request does not exclude, regardless of their load. */
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

  /** Returns whether any upstream accepts new requests. */
  boolean anyAvailable() {
    for (UpstreamState each : byName.values()) {
      if (each.isAvailable(context.rules(), context.nowNanos())) {
        return true;
      }
    }
    return false;
  }

  int requestsInFlight() {
    int requestsInFlight = 0;
    for (UpstreamState each : byName.values()) {
      requestsInFlight += each.requestsInFlight();
    }
    return requestsInFlight;
  }
}
