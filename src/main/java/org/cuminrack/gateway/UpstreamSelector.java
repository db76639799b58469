package org.cuminrack.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.cuminrack.fleet.FleetView;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.routing.EngineSpec;
import org.cuminrack.routing.HttpRoute;
import org.cuminrack.routing.ServiceSpec;
import org.cuminrack.time.Clock;

/** Collects the state of a service's upstreams and reserves capacity on one of them. */
final class UpstreamSelector {
  private final FleetView view;
  private final LoadTable loads;
  private final LoadFreshness freshness;
  private final UpstreamHealth health;
  private final RequestRateLimits rateLimits;
  private final UpstreamNotices notices;
  private final Duration announcementTimeout;
  private final Clock clock;
  private final RandomGenerator random;
  private final WarmUpRateLimiter warmUpRateLimiter;
  private final UpstreamPaces paces;
  private final GatewayCounters counters;
  private final String dataCentre;
  private final ServiceRoutes serviceRoutes = new ServiceRoutes();
  private final VersionSplit versions;

  /** Creates a selector. */
  UpstreamSelector(
      FleetView view,
      LoadTable loads,
      LoadFreshness freshness,
      UpstreamHealth health,
      RequestRateLimits rateLimits,
      UpstreamNotices notices,
      UpstreamPaces paces,
      GatewayCounters counters,
      GatewaySettings settings,
      Clock clock,
      RandomGenerator random) {
    this.view = view;
    this.loads = loads;
    this.freshness = freshness;
    this.health = health;
    this.rateLimits = rateLimits;
    this.notices = notices;
    this.paces = paces;
    this.counters = counters;
    this.announcementTimeout = settings.announcementTimeout();
    this.dataCentre = settings.dataCentre();
    this.clock = clock;
    this.random = random;
    this.warmUpRateLimiter = new WarmUpRateLimiter(random);
    this.versions = new VersionSplit(view::rollouts, random);
  }

  /** Reserves a slot for a plain request; empty if all upstreams are full. */
  synchronized Optional<Reservation> reservePlain(String service, Set<String> excludedIds) {
    PlainWork work = plainWork(service);
    return choose(
            candidates(service, excludedIds),
            candidates -> Placement.forPlainRequest(candidates, work))
        .map(this::recordChoice)
        .map(upstream -> Reservation.forPlainRequest(loads, upstream));
  }

  /**
   * Reserves memory for a generation; empty if it fits on no engine, or too much prefill is pending
   * on all.
   */
  synchronized Optional<Reservation> reserveGeneration(
      String service,
      EngineSpec engine,
      MemoryNeed need,
      HttpRoute route,
      Set<String> excludedIds) {
    PrefillWork work = prefillWork(service, need, route);
    List<Candidate> candidates = candidates(service, excludedIds);
    return choose(candidates, remaining -> Placement.forGeneration(remaining, engine, work))
        .map(
            chosen -> {
              PlacementFacts facts = facts(chosen, candidates, work);
              return Reservation.forGeneration(loads, recordChoice(chosen), need, facts);
            });
  }

  private PlainWork plainWork(String service) {
    return serviceRoutes
        .shortestTarget(view.routing(), service, false)
        .map(
            route ->
                new PlainWork(route.targetLatency(), paces.usualPlainMillis(service, route.name())))
        .orElse(PlainWork.UNKNOWN);
  }

  private PrefillWork prefillWork(String service, MemoryNeed need, HttpRoute route) {
    Duration shortestTarget = shortestTarget(service, route);
    OptionalDouble usualGapMillis = paces.usualGapMillis(service);
    double gapShare =
        usualGapMillis.isPresent()
            ? route
                .targetEventGap()
                .map(target -> usualGapMillis.getAsDouble() / Math.max(1, target.toMillis()))
                .orElse(0.0)
            : 0;
    return new PrefillWork(
        need.promptTokens(),
        need.expectedTokens(),
        route.targetLatency(),
        shortestTarget,
        gapShare);
  }

  /** Returns the shortest target latency of a service's generations; that of a route if unknown. */
  private Duration shortestTarget(String service, HttpRoute route) {
    return serviceRoutes
        .shortestTarget(view.routing(), service, true)
        .map(HttpRoute::targetLatency)
        .orElse(route.targetLatency());
  }

  private static PlacementFacts facts(
      Candidate chosen, List<Candidate> candidates, PrefillWork work) {
    CandidatePaces candidatePaces = PrefillTime.paces(candidates, work);
    return new PlacementFacts(
        chosen.upstream().dataCentre(),
        DataCentreChoice.of(chosen, candidates),
        chosen.pace(),
        PrefillTime.toFirstOutput(chosen, candidatePaces, work).toMillis());
  }

  /**
   * Reserves memory for the backup of a generation; empty if it fits on no other engine. One that
   * has named a limit is not used, since a resumed generation can't wait for it.
   */
  synchronized Optional<Reservation> reserveBackup(
      String service, EngineSpec engine, MemoryNeed need, String runningOnId) {
    List<Candidate> unlimited =
        versions.forMemoryCopies(candidates(service, Set.of())).stream()
            .filter(candidate -> !rateLimits.isLimited(candidate.upstream()))
            .toList();
    return Placement.forBackup(unlimited, runningOnId, engine, need.expectedTokens())
        .map(candidate -> Reservation.forMemoryCopy(loads, candidate.upstream(), need));
  }

  /** Reserves memory for a generation that is moved off an engine; empty if it fits on no other. */
  synchronized Optional<Reservation> reserveMove(
      String service, EngineSpec engine, MemoryNeed need, UpstreamRecord from) {
    return choose(
            versions.forMemoryCopies(candidates(service, Set.of(from.id()))),
            candidates ->
                Placement.forMove(candidates, from.dataCentre(), engine, need.expectedTokens()))
        .map(this::recordWarmUpChoice)
        .map(upstream -> Reservation.forMemoryCopy(loads, upstream, need));
  }

  /**
   * Keeps memory that is released on some engine for a generation that fits on none; empty if
   * enough is kept already.
   */
  synchronized Optional<Reservation> holdRoom(
      String service, EngineSpec engine, MemoryNeed need, Set<String> excludedIds) {
    return RoomHold.choose(candidates(service, excludedIds), engine, need.expectedTokens())
        .map(candidate -> Reservation.forMemoryCopy(loads, candidate.upstream(), need));
  }

  /** Turns kept memory into the reservation of a generation; empty if it isn't free yet. */
  synchronized Optional<Reservation> useHeldRoom(
      Reservation held, EngineSpec engine, MemoryNeed need, HttpRoute route) {
    UpstreamRecord upstream = held.upstream();
    PrefillWork work = prefillWork(upstream.service(), need, route);
    boolean usable =
        maySendTo(upstream)
            && RoomHold.isFree(loads.total(upstream.id()), engine, work.shortestTarget())
            && isWithinWarmUpRate(upstream, clock.nanoTime())
            && rateLimits.allows(upstream);
    if (!usable) {
      return Optional.empty();
    }
    held.release();
    rateLimits.recordSent(upstream);
    warmUpRateLimiter.recordRequest(upstream, clock.nanoTime());
    Candidate candidate = candidate(upstream, clock.nanoTime());
    PlacementFacts facts = facts(candidate, List.of(candidate), work);
    return Optional.of(Reservation.forGeneration(loads, upstream, need, facts));
  }

  /** Counts the generations of this size that fit now, at most the limit. */
  synchronized int freeGenerationPlaces(
      String service, EngineSpec engine, HttpRoute route, long tokens, int limit) {
    return FreePlaces.forGenerations(
        candidates(service, Set.of()), engine, tokens, shortestTarget(service, route), limit);
  }

  /** Counts the plain requests that fit now, at most the limit. */
  synchronized int freePlainPlaces(String service, int limit) {
    return FreePlaces.forPlainRequests(candidates(service, Set.of()), limit);
  }

  /** Returns the load of all gateways on a service. */
  UpstreamLoad totalLoad(String service) {
    return view.upstreams().ofService(service).stream()
        .map(upstream -> loads.total(upstream.id()))
        .reduce(UpstreamLoad.NONE, UpstreamLoad::plus);
  }

  /** Returns the best candidate that the limit which it has named, if any, permits now. */
  private Optional<Candidate> choose(
      List<Candidate> candidates, Function<List<Candidate>, Optional<Candidate>> placement) {
    return versions.inOrder(candidates).stream()
        .flatMap(group -> chooseAmong(group, placement).stream())
        .findFirst();
  }

  private Optional<Candidate> chooseAmong(
      List<Candidate> candidates, Function<List<Candidate>, Optional<Candidate>> placement) {
    List<Candidate> remaining = new ArrayList<>(candidates);
    while (true) {
      Optional<Candidate> best = placement.apply(remaining);
      if (best.isEmpty() || rateLimits.allows(best.get().upstream())) {
        return best;
      }
      remaining.remove(best.get());
    }
  }

  private UpstreamRecord recordChoice(Candidate candidate) {
    rateLimits.recordSent(candidate.upstream());
    if (candidate.isFar()) {
      counters.add(GatewayCounters.Kind.CROSSING_SENDS);
    }
    versions.recordChoice(candidate.upstream());
    return recordWarmUpChoice(candidate);
  }

  private UpstreamRecord recordWarmUpChoice(Candidate candidate) {
    warmUpRateLimiter.recordRequest(candidate.upstream(), clock.nanoTime());
    return candidate.upstream();
  }

  /** Returns whether a service has any upstream that accepts requests. */
  boolean hasAvailableUpstream(String service) {
    return view.upstreams().ofService(service).stream().anyMatch(this::isAvailable);
  }

  /**
   * Returns whether a service has an available upstream that has reached its request rate limit
   * while warming up.
   */
  synchronized boolean hasThrottledColdUpstream(String service) {
    long nowNanos = clock.nanoTime();
    return view.upstreams().ofService(service).stream()
        .anyMatch(upstream -> isAvailable(upstream) && !isWithinWarmUpRate(upstream, nowNanos));
  }

  /**
   * Returns after what time a service takes another request if each of its available upstreams has
   * named a limit or wants no requests for some time; empty if one of them accepts requests freely.
   */
  Optional<Duration> retryAfter(String service) {
    List<UpstreamRecord> available =
        view.upstreams().ofService(service).stream().filter(this::isAvailable).toList();
    List<UpstreamRecord> unpaused =
        available.stream().filter(upstream -> !notices.isPaused(upstream)).toList();
    Optional<Duration> endOfPause = notices.shortestPause(available);
    if (unpaused.isEmpty()) {
      return endOfPause;
    }
    return rateLimits
        .retryAfter(unpaused)
        .map(wait -> endOfPause.filter(pause -> pause.compareTo(wait) < 0).orElse(wait));
  }

  /** Returns whether an upstream accepts a new request now and has not restarted. */
  boolean maySendTo(UpstreamRecord upstream) {
    return isStillAvailable(upstream) && !notices.isPaused(upstream);
  }

  /** Returns whether an upstream accepts a resumed stream now and has not restarted. */
  boolean mayResumeOn(UpstreamRecord upstream) {
    return isStillAvailable(upstream) && notices.permitsResume(upstream);
  }

  private boolean isStillAvailable(UpstreamRecord upstream) {
    return view.upstreams()
        .find(upstream.id())
        .filter(current -> current.startedMillis() == upstream.startedMillis())
        .filter(this::isAvailable)
        .isPresent();
  }

  /**
   * Returns whether an upstream is draining, has left, has restarted, is no longer known, or is
   * being replaced by a new version.
   */
  boolean isLeaving(UpstreamRecord upstream) {
    return view.upstreams()
        .find(upstream.id())
        .filter(current -> current.startedMillis() == upstream.startedMillis())
        .filter(current -> current.phase() == UpstreamPhase.READY)
        .filter(current -> !notices.isLeaving(current))
        .filter(current -> !versions.isLeaving(current))
        .isEmpty();
  }

  /**
   * Returns whether an upstream has not announced itself for longer than a limit, has restarted or
   * is no longer known.
   */
  boolean isSilent(UpstreamRecord upstream, Duration limit) {
    return view.upstreams()
        .find(upstream.id())
        .filter(current -> current.startedMillis() == upstream.startedMillis())
        .filter(current -> current.age(clock.nanoTime()).compareTo(limit) <= 0)
        .isEmpty();
  }

  private List<Candidate> candidates(String service, Set<String> excludedIds) {
    long nowNanos = clock.nanoTime();
    return current(view.upstreams().ofService(service)).stream()
        .filter(this::isAvailable)
        .filter(upstream -> !excludedIds.contains(upstream.id()))
        .filter(upstream -> !notices.isPaused(upstream))
        .filter(upstream -> isWithinWarmUpRate(upstream, nowNanos))
        .map(upstream -> candidate(upstream, nowNanos))
        .toList();
  }

  /** Returns the upstreams whose load was asked for lately; all if that holds for none. */
  private List<UpstreamRecord> current(List<UpstreamRecord> upstreams) {
    List<UpstreamRecord> current = upstreams.stream().filter(freshness::isCurrent).toList();
    return current.isEmpty() ? upstreams : current;
  }

  private boolean isAvailable(UpstreamRecord upstream) {
    return upstream.phase() == UpstreamPhase.READY
        && !notices.isLeaving(upstream)
        && !versions.isExcluded(upstream)
        && !view.evacuatedDataCentres().contains(upstream.dataCentre());
  }

  private boolean isWithinWarmUpRate(UpstreamRecord upstream, long nowNanos) {
    double requestsPerSecond =
        view.routing()
            .flatMap(table -> table.service(upstream.service()))
            .map(ServiceSpec::coldRequestsPerSecond)
            .orElse(0.0);
    return warmUpRateLimiter.allows(upstream, requestsPerSecond, view.gateways().size(), nowNanos);
  }

  private Candidate candidate(UpstreamRecord upstream, long nowNanos) {
    boolean silent = upstream.age(nowNanos).compareTo(announcementTimeout) > 0;
    return new Candidate(
        upstream,
        loads.total(upstream.id()),
        silent || health.isAvoided(upstream.id()),
        health.failureShare(upstream.id()),
        random.nextDouble(),
        paces.pace(upstream),
        !upstream.dataCentre().equals(dataCentre));
  }
}
