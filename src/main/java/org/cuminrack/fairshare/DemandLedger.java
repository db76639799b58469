package org.cuminrack.fairshare;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts what the requests of one gateway hold of a service and wait for. Thread-safe. */
final class DemandLedger {
  private final String service;
  private final DemandTable table;
  private final Map<Claimant, Sum> sums = new HashMap<>();

  DemandLedger(String service, DemandTable table) {
    this.service = service;
    this.table = table;
  }

  /** Adds to the capacity in use; negative when it is released. */
  synchronized void addHeld(Claimant claimant, long units) {
    add(claimant, new Sum(units, 0, 0));
  }

  synchronized void startWaiting(ShareRequest request) {
    add(request.claimant(), new Sum(0, request.units(), 1));
  }

  synchronized void stopWaiting(ShareRequest request) {
    add(request.claimant(), new Sum(0, -request.units(), -1));
  }

  private void add(Claimant claimant, Sum change) {
    Sum sum = sums.getOrDefault(claimant, Sum.NONE).plus(change);
    if (sum.equals(Sum.NONE)) {
      sums.remove(claimant);
    } else {
      sums.put(claimant, sum);
    }
    List<OrganisationDemand> demand = new ArrayList<>(sums.size());
    sums.forEach((key, value) -> demand.add(value.demand(service, key)));
    table.replaceOwn(service, demand);
  }

  private record Sum(long heldUnits, long waitingUnits, int waitingRequests) {
    static final Sum NONE = new Sum(0, 0, 0);

    Sum plus(Sum other) {
      return new Sum(
          heldUnits + other.heldUnits,
          waitingUnits + other.waitingUnits,
          waitingRequests + other.waitingRequests);
    }

    OrganisationDemand demand(String service, Claimant claimant) {
      return new OrganisationDemand(
          service,
          claimant.organisation(),
          claimant.priority(),
          heldUnits,
          waitingUnits,
          waitingRequests);
    }
  }
}
