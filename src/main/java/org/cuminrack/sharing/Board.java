package org.cuminrack.sharing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.cuminrack.fairshare.OrganisationDemand;
import org.cuminrack.gateway.RateLimitShare;
import org.cuminrack.gateway.UpstreamLoad;
import org.cuminrack.generated.board.BoardAnswer;
import org.cuminrack.generated.board.BoardCall;
import org.cuminrack.generated.board.BoardLoadData;
import org.cuminrack.pace.UpstreamPace;
import org.cuminrack.time.Clock;

/**
 * What the gateways report on one pool of upstreams, added up. An answer has the sums of all
 * gateways but the caller, and only what changed after the version that the caller knows. Not
 * thread-safe.
 */
public final class Board {
  /** Time without a call after which a gateway has no load any more, or is unreachable. */
  private static final Duration SILENCE_TTL = Duration.ofSeconds(2);

  /** Time for which the counts of a gateway's requests hold. */
  private static final Duration COUNTS_TTL = Duration.ofSeconds(1);

  /** Gateways with load report at least twice in this time, so a board of this age knows them. */
  private static final Duration TIME_TO_BE_WHOLE = Duration.ofSeconds(1);

  private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(100);

  private final PoolId pool;
  private final long run;
  private final Supplier<Set<String>> liveGateways;
  private final Clock clock;
  private final long createdNanos;
  private final Map<String, Reporter> reporters = new HashMap<>();

  /** Gateways that were silent for too long though they had requests to count. */
  private final Set<String> lost = new HashSet<>();

  private final BoardLoads loads = new BoardLoads();
  private final BoardLimits limits = new BoardLimits();
  private final Statements<Boolean> leaving = new Statements<>();
  private final Statements<UpstreamPace> paces = new Statements<>();
  private final BoardDemand demand = new BoardDemand();
  private long version;
  private long lastCallNanos;
  private long lastExpiryNanos;

  /**
   * Creates a board that knows nothing.
   *
   * @param run a random number that identifies it; not 0
   * @param liveGateways supplies the VMs of all gateways that are alive
   */
  Board(PoolId pool, long run, Supplier<Set<String>> liveGateways, Clock clock) {
    this.pool = pool;
    this.run = run;
    this.liveGateways = liveGateways;
    this.clock = clock;
    createdNanos = clock.nanoTime();
    lastCallNanos = createdNanos;
    lastExpiryNanos = createdNanos;
  }

  /** Creates a board of a service's first pool that knows nothing. */
  public static Board ofFirstPool(
      String service, long run, Supplier<Set<String>> liveGateways, Clock clock) {
    return new Board(new PoolId(service, 0), run, liveGateways, clock);
  }

  /** Learns what a call reports and answers it; one that comes late or again reports nothing. */
  public BoardAnswer handle(BoardCall call) {
    long nowNanos = clock.nanoTime();
    lastCallNanos = nowNanos;
    removeExpired(nowNanos);
    Reporter reporter = reporters.get(call.getVm());
    boolean isLate =
        reporter != null && reporter.isNewerThan(call.getGatewayRun(), call.getNumber());
    if (isLate) {
      return answer(call, reporter, nowNanos).build();
    }
    boolean isBaseKnown =
        call.getBaseNumber() == 0
            || (reporter != null
                && reporter.run == call.getGatewayRun()
                && reporter.number == call.getBaseNumber());
    if (!isBaseKnown) {
      Reporter known = reporter == null ? new Reporter(call.getGatewayRun()) : reporter;
      return answer(call, known, nowNanos).setNeedsAllLoads(true).build();
    }
    return answer(call, learn(call, reporter, nowNanos), nowNanos).build();
  }

  private Reporter learn(BoardCall call, Reporter known, long nowNanos) {
    String vm = call.getVm();
    Reporter reporter = known;
    if (reporter == null || reporter.run != call.getGatewayRun()) {
      if (reporter != null) {
        forget(vm, reporter, nowNanos);
      }
      reporter = new Reporter(call.getGatewayRun());
      reporters.put(vm, reporter);
    }
    lost.remove(vm);
    reporter.number = call.getNumber();
    reporter.heardNanos = nowNanos;
    version++;
    learnLoads(call, reporter, nowNanos);
    reporter.limits = call.getLimitsList().stream().map(BoardCodec::share).toList();
    limits.observe(vm, reporter.limits, nowNanos, version);
    call.getLeavingList()
        .forEach(data -> leaving.add(BoardCodec.incarnation(data), true, nowNanos, vm, version));
    learnPaces(call, nowNanos);
    if (call.getHasDemand() || call.getBaseNumber() == 0) {
      List<OrganisationDemand> told =
          call.getDemandList().stream()
              .map(data -> BoardCodec.demand(pool.service(), data))
              .toList();
      demand.replace(reporter, told, vm, version);
    }
    return reporter;
  }

  private void learnLoads(BoardCall call, Reporter reporter, long nowNanos) {
    Set<String> named = new HashSet<>();
    for (BoardLoadData data : call.getLoadsList()) {
      named.add(data.getId());
      putLoad(call.getVm(), reporter, data.getId(), BoardCodec.load(data), nowNanos);
    }
    if (call.getBaseNumber() == 0) {
      reporter
          .upstreamsExcept(named)
          .forEach(id -> putLoad(call.getVm(), reporter, id, UpstreamLoad.NONE, nowNanos));
    }
  }

  private void putLoad(
      String vm, Reporter reporter, String upstreamId, UpstreamLoad load, long nowNanos) {
    UpstreamLoad before = reporter.put(upstreamId, load);
    loads.replace(upstreamId, before, load, vm, nowNanos, version);
  }

  private void learnPaces(BoardCall call, long nowNanos) {
    call.getPacesList().stream()
        .map(BoardCodec::pace)
        .forEach(
            pace ->
                paces.add(
                    Paces.key(pace),
                    Paces.withAge(pace, Duration.ZERO),
                    nowNanos - pace.age().toNanos(),
                    call.getVm(),
                    version));
  }

  private void forget(String vm, Reporter reporter, long nowNanos) {
    version++;
    reporter
        .upstreamsExcept(Set.of())
        .forEach(id -> putLoad(vm, reporter, id, UpstreamLoad.NONE, nowNanos));
    demand.replace(reporter, List.of(), vm, version);
  }

  private void removeExpired(long nowNanos) {
    if (nowNanos - lastExpiryNanos < EXPIRY_INTERVAL.toNanos()) {
      return;
    }
    lastExpiryNanos = nowNanos;
    reporters
        .entrySet()
        .removeIf(
            entry -> {
              Reporter reporter = entry.getValue();
              boolean isSilent = nowNanos - reporter.heardNanos > SILENCE_TTL.toNanos();
              if (isSilent) {
                forget(entry.getKey(), reporter, nowNanos);
                if (reporter.usesLimits()) {
                  lost.add(entry.getKey());
                }
              }
              return isSilent;
            });
    loads.removeExpired(nowNanos);
    limits.removeExpired(nowNanos);
    leaving.removeExpired(nowNanos);
    paces.removeExpired(nowNanos);
    if (!lost.isEmpty()) {
      lost.retainAll(liveGateways.get());
    }
  }

  private BoardAnswer.Builder answer(BoardCall call, Reporter caller, long nowNanos) {
    String vm = call.getVm();
    boolean isKnownRun = call.getKnownRun() == run;
    long knownVersion = isKnownRun ? call.getKnownVersion() : 0;
    BoardAnswer.Builder answer =
        BoardAnswer.newBuilder().setRun(run).setVersion(version).setAllLoads(!isKnownRun);
    if (isKnownRun) {
      loads.forEachChanged(
          vm, knownVersion, caller, (id, load) -> answer.addLoads(BoardCodec.data(id, load)));
    } else {
      loads.forEach(vm, caller, (id, load) -> answer.addLoads(BoardCodec.data(id, load)));
    }
    addLimits(answer, vm, knownVersion, caller, nowNanos);
    leaving.forEachChanged(
        vm, knownVersion, (upstream, isTrue) -> answer.addLeaving(BoardCodec.data(upstream)));
    paces.forEachChanged(
        vm,
        knownVersion,
        (upstream, pace) ->
            answer.addPaces(BoardCodec.data(Paces.withAge(pace, paces.age(upstream, nowNanos)))));
    if (!isKnownRun || demand.isChangedFor(vm, knownVersion)) {
      answer.setHasDemand(true);
      demand
          .sumOfOthers(pool.service(), vm, reporters)
          .forEach(sum -> answer.addDemand(BoardCodec.data(sum)));
    }
    return answer;
  }

  private void addLimits(
      BoardAnswer.Builder answer, String vm, long knownVersion, Reporter caller, long nowNanos) {
    List<RateLimitShare> others = new ArrayList<>();
    reporters.forEach(
        (name, reporter) -> {
          if (!name.equals(vm) && areCountsKnown(reporter, nowNanos)) {
            others.addAll(reporter.limits);
          }
        });
    List<RateLimitShare> told = limits.told(vm, knownVersion, caller.limits, others, nowNanos);
    if (!told.isEmpty()) {
      told.forEach(share -> answer.addLimits(BoardCodec.data(share)));
      answer.setSilentGateways(silentGateways(vm, nowNanos));
    }
  }

  /** Returns how many other gateways may send requests that this board does not know of. */
  private int silentGateways(String vm, long nowNanos) {
    boolean isWhole = nowNanos - createdNanos >= TIME_TO_BE_WHOLE.toNanos();
    int silent = 0;
    for (String gateway : liveGateways.get()) {
      Reporter reporter = reporters.get(gateway);
      boolean isSilent =
          reporter == null
              ? !isWhole || lost.contains(gateway)
              : !areCountsKnown(reporter, nowNanos);
      if (isSilent && !gateway.equals(vm)) {
        silent++;
      }
    }
    return silent;
  }

  /** A gateway without requests to count says nothing until it asks before its next one. */
  private static boolean areCountsKnown(Reporter reporter, long nowNanos) {
    return !reporter.usesLimits() || nowNanos - reporter.heardNanos <= COUNTS_TTL.toNanos();
  }

  /** Returns the time since the last call. */
  Duration idleTime() {
    return Duration.ofNanos(clock.nanoTime() - lastCallNanos);
  }
}
