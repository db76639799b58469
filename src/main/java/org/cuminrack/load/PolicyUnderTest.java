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
import org.cuminrack.pool.PoolDigest;
import org.cuminrack.pool.PoolKey;
import org.cuminrack.pool.PoolRules;
import org.cuminrack.pool.PoolSelector;

/**
 * The decision core as the entries run it: for our policies a pool for each data centre, chosen by
 * digests that are a little old; for the baselines one pool over all engines, as a balancer has.
 */
final class PolicyUnderTest {
  private static final String EVERYWHERE = "all";
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final boolean pooled;
  private final Map<String, PoolCore> pools = new LinkedHashMap<>();
  private final Map<String, PoolCore> byPoolName = new HashMap<>();
  private final Map<Long, PoolCore> byRequest = new HashMap<>();
  private final Map<String, Integer> weights;
  private final Set<String> drained = new TreeSet<>();
  private final Map<String, String> dataCentres = new HashMap<>();
  private final PoolSelector selector;
  private List<PoolDigest> digests = List.of();

  PolicyUnderTest(PolicyKind policy, LoadProfile profile, long seed) {
    this.pooled = policy != PolicyKind.ROUND_ROBIN && policy != PolicyKind.LEAST_CONNECTIONS;
    this.weights = new HashMap<>();
    profile.organisations().forEach(each -> weights.put(each.name(), each.weight()));
    Set<String> names = pooled ? profile.dataCentres() : Set.of(EVERYWHERE);
    for (String name : names) {
      PoolKey key = new PoolKey(profile.service(), name, 0);
      PoolCore core = new PoolCore(key, policy, 1);
      pools.put(name, core);
      byPoolName.put(key.name(), core);
    }
    this.selector = new PoolSelector(names.iterator().next(), new SplittableRandom(seed));
    pools.values().forEach(each -> each.applyRules(rules(), 0));
  }

  List<PoolDecision> announced(VirtualEngine engine, long nowNanos) {
    dataCentres.put(engine.name(), engine.dataCentre());
    return decided(pool(engine), core -> core.announced(engine.announcement(), nowNanos));
  }

  List<PoolDecision> reported(VirtualEngine engine, long nowNanos) {
    engine.cacheEvents().forEach(pool(engine)::cacheEvents);
    return decided(pool(engine), core -> core.reported(engine.report(), nowNanos));
  }

  List<PoolDecision> gone(VirtualEngine engine, long nowNanos) {
    return decided(pool(engine), core -> core.removeUpstream(engine.name(), nowNanos));
  }

  List<PoolDecision> submit(long requestId, AdmissionRequest request, long nowNanos) {
    Optional<PoolCore> chosen = choose();
    if (chosen.isEmpty()) {
      return List.of(new PoolDecision.Refused(requestId, RefusalReason.NO_UPSTREAM, RETRY_AFTER));
    }
    byRequest.put(requestId, chosen.get());
    return decided(chosen.get(), core -> core.submit(requestId, request, nowNanos));
  }

  List<PoolDecision> cancelled(long requestId, long nowNanos) {
    PoolCore core = byRequest.remove(requestId);
    if (core == null) {
      return List.of();
    }
    return decided(core, each -> each.cancel(requestId, nowNanos));
  }

  List<PoolDecision> finished(Ticket ticket, TicketOutcome outcome, long nowNanos) {
    PoolCore core = byPoolName.get(ticket.pool());
    return decided(core, each -> each.returnTicket(ticket.id(), outcome, nowNanos));
  }

  List<PoolDecision> tick(long nowNanos) {
    List<PoolDecision> decisions = new ArrayList<>();
    for (PoolCore core : pools.values()) {
      decisions.addAll(decided(core, each -> each.tick(nowNanos)));
    }
    return decisions;
  }

  /** Publishes the pools' free capacity to the entries. */
  void publishDigests(long nowNanos) {
    digests = pools.values().stream().map(each -> each.digest(nowNanos)).toList();
  }

  /** Puts a data centre's draining, or its end, in force. */
  List<PoolDecision> drain(String dataCentre, boolean value, long nowNanos) {
    if (value) {
      drained.add(dataCentre);
    } else {
      drained.remove(dataCentre);
    }
    List<PoolDecision> decisions = new ArrayList<>();
    for (Map.Entry<String, PoolCore> each : pools.entrySet()) {
      PoolRules next = pooled ? rulesOf(each.getKey()) : rules();
      decisions.addAll(decided(each.getValue(), core -> core.applyRules(next, nowNanos)));
    }
    publishDigests(nowNanos);
    return decisions;
  }

  private Optional<PoolCore> choose() {
    if (!pooled) {
      return Optional.of(pools.get(EVERYWHERE));
    }
    return selector.choose(digests).map(each -> byPoolName.get(each.name()));
  }

  private PoolCore pool(VirtualEngine engine) {
    return pools.get(pooled ? engine.dataCentre() : EVERYWHERE);
  }

  private List<PoolDecision> decided(PoolCore core, Function<PoolCore, List<PoolDecision>> event) {
    List<PoolDecision> decisions = event.apply(core);
    decisions.forEach(each -> byRequest.remove(each.requestId()));
    return decisions;
  }

  private PoolRules rulesOf(String dataCentre) {
    return new PoolRules(drained.contains(dataCentre), Set.of(), weights, Map.of());
  }

  private PoolRules rules() {
    Set<String> retired = new TreeSet<>();
    dataCentres.forEach(
        (engine, dataCentre) -> {
          if (drained.contains(dataCentre)) {
            retired.add(engine);
          }
        });
    return new PoolRules(false, retired, weights, Map.of());
  }
}
