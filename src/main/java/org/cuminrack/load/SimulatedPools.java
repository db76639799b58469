package org.cuminrack.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Function;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome;
import org.cuminrack.pool.PolicyKind;
import org.cuminrack.pool.PoolCore;
import org.cuminrack.pool.PoolDecision;
import org.cuminrack.pool.PoolKey;
import org.cuminrack.pool.PoolRules;
import org.cuminrack.pool.PoolSelector;
import org.cuminrack.pool.PoolSummary;

/**
 * The pools of a simulation, which run the admission and placement code of the entries. The
 * baseline policies, round-robin and least-connections, have a single pool of all engines, like a
 * plain load balancer. The other policies have a pool for each data centre, selected by slightly
 * outdated summaries.
 */
final class SimulatedPools {
  private static final String SINGLE_POOL = "all";
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final boolean poolPerDataCentre;

  /** The pools by data centre; the baseline policies have only {@link #SINGLE_POOL}. */
  private final Map<String, PoolCore> poolsByDataCentre = new LinkedHashMap<>();

  private final Map<String, PoolCore> poolsByName = new HashMap<>();
  private final Map<Long, PoolCore> poolsByRequestId = new HashMap<>();
  private final Map<String, Integer> weights;
  private final Set<String> drainedDataCentres = new TreeSet<>();
  private final Map<String, String> dataCentresByEngine = new HashMap<>();
  private final PoolSelector selector;
  private List<PoolSummary> summaries = List.of();

  SimulatedPools(PolicyKind policy, LoadProfile profile, long seed) {
    this.poolPerDataCentre =
        policy != PolicyKind.ROUND_ROBIN && policy != PolicyKind.LEAST_CONNECTIONS;
    this.weights = new HashMap<>();
    profile.organisations().forEach(each -> weights.put(each.name(), each.weight()));
    Set<String> poolNames = poolPerDataCentre ? profile.dataCentres() : Set.of(SINGLE_POOL);
    for (String name : poolNames) {
      PoolKey key = new PoolKey(profile.service(), name, 0);
      PoolCore core = new PoolCore(key, policy, 1);
      poolsByDataCentre.put(name, core);
      poolsByName.put(key.name(), core);
    }
    this.selector = new PoolSelector(poolNames.iterator().next(), new SplittableRandom(seed));
    poolsByDataCentre.values().forEach(each -> each.applyRules(singlePoolRules(), 0));
  }

  List<PoolDecision> announced(SimulatedEngine engine, long nowNanos) {
    dataCentresByEngine.put(engine.name(), engine.dataCentre());
    return applyEvent(pool(engine), core -> core.announced(engine.announcement(), nowNanos));
  }

  List<PoolDecision> reported(SimulatedEngine engine, long nowNanos) {
    engine.cacheEvents().forEach(pool(engine)::cacheChanged);
    return applyEvent(pool(engine), core -> core.reported(engine.report(), nowNanos));
  }

  List<PoolDecision> removeEngine(SimulatedEngine engine, long nowNanos) {
    return applyEvent(pool(engine), core -> core.removeUpstream(engine.name(), nowNanos));
  }

  List<PoolDecision> submit(long requestId, AdmissionRequest request, long nowNanos) {
    Optional<PoolCore> chosen = selectPool();
    if (chosen.isEmpty()) {
      return List.of(new PoolDecision.Refused(requestId, RefusalReason.NO_UPSTREAM, RETRY_AFTER));
    }
    poolsByRequestId.put(requestId, chosen.get());
    return applyEvent(chosen.get(), core -> core.submit(requestId, request, nowNanos));
  }

  List<PoolDecision> cancel(long requestId, long nowNanos) {
    PoolCore core = poolsByRequestId.remove(requestId);
    if (core == null) {
      return List.of();
    }
    return applyEvent(core, each -> each.cancel(requestId, nowNanos));
  }

  List<PoolDecision> returnTicket(Ticket ticket, TicketOutcome outcome, long nowNanos) {
    PoolCore core = poolsByName.get(ticket.pool());
    return applyEvent(core, each -> each.returnTicket(ticket.id(), outcome, nowNanos));
  }

  List<PoolDecision> tick(long nowNanos) {
    List<PoolDecision> decisions = new ArrayList<>();
    for (PoolCore core : poolsByDataCentre.values()) {
      decisions.addAll(applyEvent(core, each -> each.tick(nowNanos)));
    }
    return decisions;
  }

  /** Updates the summaries of the pools' free capacity, from which entries select a pool. */
  void publishSummaries(long nowNanos) {
    summaries = poolsByDataCentre.values().stream().map(each -> each.summary(nowNanos)).toList();
  }

  /** Starts or ends the draining of a data centre. */
  List<PoolDecision> drain(String dataCentre, boolean draining, long nowNanos) {
    if (draining) {
      drainedDataCentres.add(dataCentre);
    } else {
      drainedDataCentres.remove(dataCentre);
    }
    List<PoolDecision> decisions = new ArrayList<>();
    for (Map.Entry<String, PoolCore> each : poolsByDataCentre.entrySet()) {
      PoolRules nextRules = poolPerDataCentre ? dataCentreRules(each.getKey()) : singlePoolRules();
      decisions.addAll(applyEvent(each.getValue(), core -> core.applyRules(nextRules, nowNanos)));
    }
    publishSummaries(nowNanos);
    return decisions;
  }

  private Optional<PoolCore> selectPool() {
    if (!poolPerDataCentre) {
      return Optional.of(poolsByDataCentre.get(SINGLE_POOL));
    }
    return selector.choose(summaries).map(each -> poolsByName.get(each.name()));
  }

  private PoolCore pool(SimulatedEngine engine) {
    return poolsByDataCentre.get(poolPerDataCentre ? engine.dataCentre() : SINGLE_POOL);
  }

  private List<PoolDecision> applyEvent(
      PoolCore core, Function<PoolCore, List<PoolDecision>> event) {
    List<PoolDecision> decisions = event.apply(core);
    decisions.forEach(each -> poolsByRequestId.remove(each.requestId()));
    return decisions;
  }

  private PoolRules dataCentreRules(String dataCentre) {
    return new PoolRules(drainedDataCentres.contains(dataCentre), Set.of(), weights, Map.of());
  }

  private PoolRules singlePoolRules() {
    Set<String> retired = new TreeSet<>();
    dataCentresByEngine.forEach(
        (engine, dataCentre) -> {
          if (drainedDataCentres.contains(dataCentre)) {
            retired.add(engine);
          }
        });
    return new PoolRules(false, retired, weights, Map.of());
  }
}
