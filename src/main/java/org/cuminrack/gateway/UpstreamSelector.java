package org.cuminrack.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cuminrack.fleet.FleetView;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.routing.EngineSpec;
import org.cuminrack.routing.ServiceSpec;
import org.cuminrack.time.Clock;

/** Gathers what is known of a service's upstreams and reserves a place on one of them. */
final class UpstreamSelector {
  private final FleetView view;
  private final LoadTable loads;
  private final UpstreamHealth health;
  private final Duration silence;
  private final Clock clock;
  private final RandomGenerator random;
  private final ColdLimits coldLimits;

  /**
   * Makes a selector.
   *
   * @param silence how long an upstream may announce nothing before it is avoided
   */
  UpstreamSelector(
      FleetView view,
      LoadTable loads,
      UpstreamHealth health,
      Duration silence,
      Clock clock,
      RandomGenerator random) {
    this.view = view;
    this.loads = loads;
    this.health = health;
    this.silence = silence;
    this.clock = clock;
    this.random = random;
    this.coldLimits = new ColdLimits(random);
  }

  /** Reserves a place for a plain request; empty if no upstream has room. */
  synchronized Optional<Reservation> plain(String service, Set<String> excludedIds) {
    return Placement.plain(candidates(service, excludedIds))
        .map(this::chosen)
        .map(each -> Reservation.plain(loads, each));
  }

  /** Reserves memory for a generation; empty if no engine has room. */
  synchronized Optional<Reservation> generation(
      String service, EngineSpec engine, MemoryNeed need, Set<String> excludedIds) {
    return Placement.generation(candidates(service, excludedIds), engine, need.expectedTokens())
        .map(this::chosen)
        .map(each -> Reservation.generation(loads, each, need));
  }

  /** Reserves memory for the copy of a generation; empty if no other engine has enough. */
  synchronized Optional<Reservation> backup(
      String service, EngineSpec engine, MemoryNeed need, String runningOn) {
    return Placement.backup(candidates(service, Set.of()), runningOn, engine, need.expectedTokens())
        .map(each -> Reservation.copy(loads, each.upstream(), need));
  }

  /** Reserves memory for a generation that leaves an engine; empty if no other has room. */
  synchronized Optional<Reservation> move(
      String service, EngineSpec engine, MemoryNeed need, UpstreamRecord from) {
    return Placement.move(
            candidates(service, Set.of(from.id())),
            from.dataCentre(),
            engine,
            need.expectedTokens())
        .map(this::chosen)
        .map(each -> Reservation.copy(loads, each, need));
  }

  private UpstreamRecord chosen(Candidate candidate) {
    coldLimits.note(candidate.upstream(), clock.nanoTime());
    return candidate.upstream();
  }

  /** Tells whether a service has any upstream that takes requests. */
  boolean hasUpstreams(String service) {
    return view.upstreams().ofService(service).stream().anyMatch(this::isOpen);
  }

  /** Tells whether a service has an upstream that waits for its turn only because it is cold. */
  synchronized boolean isHeldBack(String service) {
    long nowNanos = clock.nanoTime();
    return view.upstreams().ofService(service).stream()
        .anyMatch(each -> isOpen(each) && !mayTake(each, nowNanos));
  }

  /** Tells whether an upstream still takes new requests. */
  boolean takesRequests(UpstreamRecord chosen) {
    return view.upstreams()
        .find(chosen.id())
        .filter(each -> each.bornMillis() == chosen.bornMillis())
        .filter(this::isOpen)
        .isPresent();
  }

  /** Tells whether an upstream has said that it will end. */
  boolean isLeaving(UpstreamRecord chosen) {
    return view.upstreams()
        .find(chosen.id())
        .filter(each -> each.bornMillis() == chosen.bornMillis())
        .filter(each -> each.phase() == UpstreamPhase.READY)
        .isEmpty();
  }

  /** Tells whether an upstream has announced nothing for longer than this. */
  boolean isSilent(UpstreamRecord chosen, Duration longerThan) {
    return view.upstreams()
        .find(chosen.id())
        .filter(each -> each.bornMillis() == chosen.bornMillis())
        .filter(each -> each.age(clock.nanoTime()).compareTo(longerThan) <= 0)
        .isEmpty();
  }

  private List<Candidate> candidates(String service, Set<String> excludedIds) {
    long nowNanos = clock.nanoTime();
    return view.upstreams().ofService(service).stream()
        .filter(this::isOpen)
        .filter(each -> !excludedIds.contains(each.id()))
        .filter(each -> mayTake(each, nowNanos))
        .map(each -> candidate(each, nowNanos))
        .toList();
  }

  private boolean isOpen(UpstreamRecord upstream) {
    return upstream.phase() == UpstreamPhase.READY
        && !view.evacuated().contains(upstream.dataCentre());
  }

  private boolean mayTake(UpstreamRecord upstream, long nowNanos) {
    double perSecond =
        view.routing()
            .flatMap(each -> each.service(upstream.service()))
            .map(ServiceSpec::coldRequestsPerSecond)
            .orElse(0.0);
    return coldLimits.allows(upstream, perSecond, view.gateways().size(), nowNanos);
  }

  private Candidate candidate(UpstreamRecord upstream, long nowNanos) {
    boolean silent = upstream.age(nowNanos).compareTo(silence) > 0;
    return new Candidate(
        upstream,
        loads.total(upstream.id()),
        silent || health.isAvoided(upstream.id()),
        health.failureShare(upstream.id()),
        random.nextDouble());
  }
}
