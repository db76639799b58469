package org.cuminrack.sharing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cuminrack.fairshare.OrganisationDemand;

/** The demand of all gateways at one service. Not thread-safe. */
final class BoardDemand {
  private final ChangeMark mark = new ChangeMark();

  private record Key(String organisation, int priority) {}

  /** Replaces the demand of a gateway. */
  void replace(Reporter reporter, List<OrganisationDemand> demand, String vm, long version) {
    if (!demand.equals(reporter.demand)) {
      reporter.demand = demand;
      mark.record(vm, version);
    }
  }

  boolean isChangedFor(String vm, long knownVersion) {
    return mark.isChangedFor(vm, knownVersion);
  }

  /** Returns the demand of all gateways but one, added up by organisation and priority. */
  List<OrganisationDemand> sumOfOthers(String service, String vm, Map<String, Reporter> reporters) {
    Map<Key, OrganisationDemand> sums = new LinkedHashMap<>();
    reporters.forEach(
        (name, reporter) -> {
          if (!name.equals(vm)) {
            reporter.demand.forEach(
                demand ->
                    sums.merge(
                        new Key(demand.organisation(), demand.priority()),
                        demand,
                        (first, second) -> sum(service, first, second)));
          }
        });
    return List.copyOf(sums.values());
  }

  private static OrganisationDemand sum(
      String service, OrganisationDemand first, OrganisationDemand second) {
    return new OrganisationDemand(
        service,
        first.organisation(),
        first.priority(),
        first.heldUnits() + second.heldUnits(),
        first.waitingUnits() + second.waitingUnits(),
        first.waitingRequests() + second.waitingRequests());
  }
}
