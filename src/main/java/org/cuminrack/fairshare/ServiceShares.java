package org.cuminrack.fairshare;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * What organisations hold of a service over all gateways, and what waits at other gateways. A
 * snapshot that is updated with this gateway's placements; not thread-safe.
 *
 * <p>The claimant that holds least for its weight is placed next. Repeated for each place that
 * comes free, this is weighted max-min fairness: capacity that one claimant leaves unused goes to
 * all others.
 */
final class ServiceShares {
  private final ToDoubleFunction<String> weights;
  private final Map<Claimant, Long> heldUnits = new HashMap<>();
  private final List<OrganisationDemand> waitingElsewhere;
  private final Set<Claimant> waitingClaimants = new HashSet<>();
  private final long ownHeldUnits;
  private long allHeldUnits;

  ServiceShares(
      List<OrganisationDemand> own,
      List<OrganisationDemand> others,
      ToDoubleFunction<String> weights) {
    this.weights = weights;
    ownHeldUnits = own.stream().mapToLong(OrganisationDemand::heldUnits).sum();
    own.forEach(this::addHeld);
    others.forEach(this::addHeld);
    waitingElsewhere = others.stream().filter(demand -> demand.waitingRequests() > 0).toList();
    waitingElsewhere.forEach(demand -> waitingClaimants.add(claimantOf(demand)));
    own.stream()
        .filter(demand -> demand.waitingRequests() > 0)
        .forEach(demand -> waitingClaimants.add(claimantOf(demand)));
  }

  private void addHeld(OrganisationDemand demand) {
    recordHeld(claimantOf(demand), demand.heldUnits());
  }

  /** Adds to what a claimant holds. */
  void recordHeld(Claimant claimant, long units) {
    heldUnits.merge(claimant, units, Long::sum);
    allHeldUnits += units;
  }

  /** Returns the capacity that all requests hold. */
  long allHeldUnits() {
    return allHeldUnits;
  }

  /** Returns the capacity that requests of this gateway held when the snapshot was made. */
  long ownHeldUnits() {
    return ownHeldUnits;
  }

  /** Returns what a claimant holds, divided by its organisation's weight. */
  double holdingPerWeight(Claimant claimant) {
    return heldUnits.getOrDefault(claimant, 0L) / weights.applyAsDouble(claimant.organisation());
  }

  /** Returns the part of the capacity in use that a claimant holds, from 0 to 1. */
  double shareOf(Claimant claimant) {
    return allHeldUnits <= 0 ? 0 : (double) heldUnits.getOrDefault(claimant, 0L) / allHeldUnits;
  }

  /**
   * Returns what waits at other gateways on a better claim than a request.
   *
   * @param firstOfPriority whether the request comes first within its priority, whatever is held
   */
  Ahead aheadElsewhere(ShareRequest request, boolean firstOfPriority) {
    Claimant claimant = request.claimant();
    // Claims that differ by less than the request itself count as equal.
    double margin = request.units() / weights.applyAsDouble(claimant.organisation());
    double maxHolding = holdingPerWeight(claimant) - margin;
    long units = 0;
    int requests = 0;
    for (OrganisationDemand other : waitingElsewhere) {
      boolean moreUrgent = other.priority() < claimant.priority();
      boolean holdsLess =
          !firstOfPriority
              && other.priority() == claimant.priority()
              && holdingPerWeight(claimantOf(other)) < maxHolding;
      if (moreUrgent || holdsLess) {
        units += other.waitingUnits();
        requests += other.waitingRequests();
      }
    }
    return new Ahead(units, requests);
  }

  /** Returns the capacity that requests of a claimant wait for at other gateways. */
  long waitingElsewhereOf(Claimant claimant) {
    return waitingElsewhere.stream()
        .filter(demand -> claimantOf(demand).equals(claimant))
        .mapToLong(OrganisationDemand::waitingUnits)
        .sum();
  }

  /**
   * Returns the part of the released capacity that a claimant gets, by its weight among those of
   * its priority that wait, from 0 to 1.
   */
  double fairPart(Claimant claimant) {
    Set<Claimant> competing = new HashSet<>(waitingClaimants);
    competing.add(claimant);
    double totalWeight = 0;
    for (Claimant each : competing) {
      if (each.priority() == claimant.priority()) {
        totalWeight += weights.applyAsDouble(each.organisation());
      }
    }
    return weights.applyAsDouble(claimant.organisation()) / totalWeight;
  }

  private static Claimant claimantOf(OrganisationDemand demand) {
    return new Claimant(demand.organisation(), demand.priority());
  }

  /** Requests that wait on better claims, and the capacity that they need. */
  record Ahead(long units, int requests) {
    static final Ahead NONE = new Ahead(0, 0);

    long meanUnits() {
      return requests == 0 ? 0 : units / requests;
    }
  }
}
