package org.cuminrack.fairshare;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminrack.time.Clock;

/**
 * The demand of organisations at this gateway and the sum of it at all others. Thread-safe; no
 * callback runs under the lock.
 */
public final class DemandTable {
  /** Time without news after which the demand at other gateways is not known any more. */
  private static final Duration REMOTE_DEMAND_TTL = Duration.ofSeconds(2);

  private final Clock clock;
  private final Map<String, List<OrganisationDemand>> own = new HashMap<>();
  private final Map<String, RemoteDemand> others = new HashMap<>();

  public DemandTable(Clock clock) {
    this.clock = clock;
  }

  /** Replaces the demand of this gateway at a service. */
  public synchronized void replaceOwn(String service, List<OrganisationDemand> demand) {
    if (demand.isEmpty()) {
      own.remove(service);
    } else {
      own.put(service, List.copyOf(demand));
    }
  }

  /** Returns the demand of this gateway at a service. */
  public synchronized List<OrganisationDemand> own(String service) {
    return own.getOrDefault(service, List.of());
  }

  /** Replaces the sum of the demand of all other gateways at a service. */
  public synchronized void replaceOthers(String service, List<OrganisationDemand> demand) {
    others.put(service, new RemoteDemand(List.copyOf(demand), clock.nanoTime()));
  }

  /** Returns the sum of the demand of all other gateways; empty if there is no recent news. */
  public synchronized List<OrganisationDemand> others(String service) {
    RemoteDemand remote = others.get(service);
    boolean isRecent =
        remote != null && clock.nanoTime() - remote.receivedNanos <= REMOTE_DEMAND_TTL.toNanos();
    return isRecent ? remote.demand : List.of();
  }

  private record RemoteDemand(List<OrganisationDemand> demand, long receivedNanos) {}
}
