package org.cuminrack.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The gateways that recently called this control VM, with numbered changes. Thread-safe.
 *
 * <p>Time in which this process did not run counts for no gateway: their calls waited meanwhile.
 */
public final class GatewayTable {
  /**
   * How long after its last call a gateway counts as live. Gateways call again right after each
   * response, which a control VM delays by 500 ms at most.
   */
  static final Duration EXPIRY = Duration.ofMillis(1500);

  /** Longer than the time between two uses of a table by a process that runs. */
  static final Duration MAX_RUNNING_GAP = Duration.ofMillis(700);

  /** Removals that are kept for gateways that know an older state. */
  private static final int MAX_REMOVALS = 1024;

  private final Map<String, Registration> registrations = new HashMap<>();
  private final NavigableMap<Long, String> changes = new TreeMap<>();
  private final NavigableMap<Long, String> removals = new TreeMap<>();
  private long lastChange;
  private long lastForgottenRemoval;
  private long lastUseNanos;
  private boolean used;

  /** Records a call from a gateway; returns whether the gateway is new or its record changed. */
  public synchronized boolean recordCall(GatewayRecord gateway, long nowNanos) {
    return recordCall(gateway, GatewayLoad.UNKNOWN, nowNanos);
  }

  /** As {@link #recordCall(GatewayRecord, long)}, with what the gateway says of its load. */
  synchronized boolean recordCall(GatewayRecord gateway, GatewayLoad load, long nowNanos) {
    discountStall(nowNanos);
    Registration before = registrations.get(gateway.vm());
    boolean changed = before == null || !before.gateway.equals(gateway);
    long change = changed ? ++lastChange : before.change;
    registrations.put(gateway.vm(), new Registration(gateway, load, nowNanos, change));
    if (changed) {
      if (before != null) {
        changes.remove(before.change);
      }
      removals.values().remove(gateway.vm());
      changes.put(change, gateway.vm());
    }
    return changed;
  }

  /** Removes the gateways that no longer call; returns whether there were some. */
  synchronized boolean removeExpired(long nowNanos) {
    discountStall(nowNanos);
    List<Registration> expired =
        registrations.values().stream()
            .filter(registration -> nowNanos - registration.lastCallNanos > EXPIRY.toNanos())
            .toList();
    expired.forEach(this::remove);
    return !expired.isEmpty();
  }

  private void remove(Registration registration) {
    String vm = registration.gateway.vm();
    registrations.remove(vm);
    changes.remove(registration.change);
    lastChange++;
    removals.put(lastChange, vm);
    if (removals.size() > MAX_REMOVALS) {
      lastForgottenRemoval = removals.pollFirstEntry().getKey();
    }
  }

  /** Moves the last calls by the time in which this process did not run. */
  private void discountStall(long nowNanos) {
    long excessNanos = nowNanos - lastUseNanos - MAX_RUNNING_GAP.toNanos();
    if (used && excessNanos > 0) {
      registrations.replaceAll((vm, registration) -> registration.laterBy(excessNanos));
    }
    used = true;
    lastUseNanos = nowNanos;
  }

  /** Returns the live gateways, ordered by VM name. */
  public synchronized List<GatewayRecord> live(long nowNanos) {
    return liveWithLoad(nowNanos).stream().map(LoadedGateway::gateway).toList();
  }

  /** Returns the live gateways with their load, ordered by VM name. */
  synchronized List<LoadedGateway> liveWithLoad(long nowNanos) {
    removeExpired(nowNanos);
    return registrations.values().stream()
        .map(
            registration ->
                new LoadedGateway(
                    registration.gateway,
                    registration.load,
                    Duration.ofNanos(nowNanos - registration.lastCallNanos)))
        .sorted(Comparator.comparing(loaded -> loaded.gateway().vm()))
        .toList();
  }

  /** Returns what changed after the change with a number; changes are numbered from 1. */
  synchronized GatewayChanges changesAfter(long change, long nowNanos) {
    removeExpired(nowNanos);
    boolean whole = change == 0 || change < lastForgottenRemoval || change > lastChange;
    List<GatewayRecord> changed = new ArrayList<>();
    for (String vm : changes.tailMap(whole ? 0 : change, false).values()) {
      changed.add(registrations.get(vm).gateway);
    }
    List<String> removed =
        whole ? List.of() : List.copyOf(removals.tailMap(change, false).values());
    return new GatewayChanges(changed, removed, lastChange, whole);
  }

  private record Registration(
      GatewayRecord gateway, GatewayLoad load, long lastCallNanos, long change) {

    Registration laterBy(long nanos) {
      return new Registration(gateway, load, lastCallNanos + nanos, change);
    }
  }
}
