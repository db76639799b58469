package org.cuminrack.sharing;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.cuminrack.fleet.GatewayRecord;
import org.cuminrack.time.Clock;

/**
 * Chooses the gateway that keeps the board of a pool: the serving one with the highest rendezvous
 * hash. One that did not answer is avoided for some time. Confined to one thread.
 */
final class BoardChoice {
  /** Longer than a pause of a process, shorter than control takes to notice most losses. */
  private static final Duration AVOIDED_TIME = Duration.ofSeconds(3);

  /** Some round trips; a board on a gateway that waits for processor time answers by then. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(100);

  /** The first call to a board needs a connection, and its process may just have started. */
  private static final Duration FIRST_ANSWER_TIMEOUT = Duration.ofMillis(300);

  private final Supplier<List<GatewayRecord>> gateways;
  private final Clock clock;
  private final Map<String, Long> avoidedUntilNanos = new HashMap<>();
  private final Set<String> answeredVms = new HashSet<>();

  /**
   * Creates a choice.
   *
   * @param gateways supplies the live gateways
   */
  BoardChoice(Supplier<List<GatewayRecord>> gateways, Clock clock) {
    this.gateways = gateways;
    this.clock = clock;
  }

  /** Returns the gateway that keeps the board of a pool; empty if none can be asked. */
  Optional<GatewayRecord> boardOf(PoolId pool) {
    long nowNanos = clock.nanoTime();
    avoidedUntilNanos.values().removeIf(untilNanos -> untilNanos - nowNanos <= 0);
    long poolHash = Hashes.combine(Hashes.of(pool.service()), pool.index());
    GatewayRecord best = null;
    long highest = 0;
    for (GatewayRecord gateway : gateways.get()) {
      if (!gateway.serving() || avoidedUntilNanos.containsKey(gateway.vm())) {
        continue;
      }
      long score = Hashes.combine(poolHash, Hashes.of(gateway.vm()));
      if (best == null || Long.compareUnsigned(score, highest) > 0) {
        best = gateway;
        highest = score;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Avoids a gateway for some time because it did not answer. */
  void avoid(String vm) {
    avoidedUntilNanos.put(vm, clock.nanoTime() + AVOIDED_TIME.toNanos());
  }

  /** Uses a gateway again because it has answered. */
  void recordAnswer(String vm) {
    answeredVms.add(vm);
    avoidedUntilNanos.remove(vm);
  }

  /** Returns the time after which a gateway that keeps a board counts as silent. */
  Duration answerTimeout(String vm) {
    return answeredVms.contains(vm) ? ANSWER_TIMEOUT : FIRST_ANSWER_TIMEOUT;
  }
}
