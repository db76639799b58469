package org.cuminrack.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.cuminrack.fleet.FleetView;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.routing.EngineSpec;
import org.cuminrack.routing.ServiceSpec;
import org.cuminrack.time.Clock;

/** Collects the state of a service's upstreams and reserves capacity on one of them. */
final class UpstreamSelector {
  private final FleetView view;
  private final LoadTable loads;
  private final UpstreamHealth health;
  private final RequestRateLimits rateLimits;
  private final UpstreamNotices notices;
  private final Duration announcementTimeout;
  private final Clock clock;
  private final RandomGenerator random;
  private final WarmUpRateLimiter warmUpRateLimiter;
  private final VersionSplit versions;

  /**
   * Creates a selector.
   *
   * @param announcementTimeout time without an announcement after which an upstream is avoided
   */
  UpstreamSelector(
      FleetView view,
      LoadTable loads,
      UpstreamHealth health,
      RequestRateLimits rateLimits,
      UpstreamNotices notices,
      Duration announcementTimeout,
      Clock clock,
      RandomGenerator random) {
    this.view = view;
    this.loads = loads;
    this.health = health;
    this.rateLimits = rateLimits;
    this.notices = notices;
    this.announcementTimeout = announcementTimeout;
    this.clock = clock;
    this.random = random;
    this.warmUpRateLimiter = new WarmUpRateLimiter(random);
    this.versions = new VersionSplit(view::rollouts, random);
  }

  /** Reserves a slot for a plain request; empty if all upstreams are full. */
  synchronized Optional<Reservation> reservePlain(String service, Set<String> excludedIds) {
    return choose(candidates(service, excludedIds), Placement::forPlainRequest)
        .map(this::recordChoice)
        .map(upstream -> Reservation.forPlainRequest(loads, upstream));
  }

  /** Reserves memory for a generation; empty if it fits on no engine. */
  synchronized Optional<Reservation> reserveGeneration(
      String service, EngineSpec engine, MemoryNeed need, Set<String> excludedIds) {
    return choose(
            candidates(service, excludedIds),
            candidates -> Placement.forGeneration(candidates, engine, need.expectedTokens()))
        .map(this::recordChoice)
        .map(upstream -> Reservation.forGeneration(loads, upstream, need));
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
    return view.upstreams().ofService(service).stream()
        .filter(this::isAvailable)
        .filter(upstream -> !excludedIds.contains(upstream.id()))
        .filter(upstream -> !notices.isPaused(upstream))
        .filter(upstream -> isWithinWarmUpRate(upstream, nowNanos))
        .map(upstream -> candidate(upstream, nowNanos))
        .toList();
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
        random.nextDouble());
  }
}
