package org.cuminrack.sharing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminrack.fairshare.OrganisationDemand;
import org.cuminrack.gateway.UpstreamLoad;
import org.cuminrack.generated.board.BoardAnswer;
import org.cuminrack.generated.board.BoardLoadData;
import org.cuminrack.time.Clock;

/**
 * The load and demand of the other gateways in one pool, as its board told them. After a change of
 * the board the higher of the old and the new load counts for a while, since the new board knows
 * only the gateways that have turned to it. Not thread-safe.
 */
final class KnownLoads {
  /** Gateways repeat their load twice in this time. */
  private static final Duration PREVIOUS_TTL = Duration.ofSeconds(1);

  /** The time after which a board may have dropped sums that it has not told. */
  private static final Duration VERSION_TTL = Duration.ofSeconds(2);

  private final PoolId pool;
  private final SharedTables tables;
  private final Clock clock;
  private final Map<String, UpstreamLoad> loads = new HashMap<>();
  private Map<String, UpstreamLoad> previous = Map.of();
  private long previousRun;
  private long previousUntilNanos;
  private List<OrganisationDemand> demand = List.of();
  private long boardRun;
  private long version;
  private long learnedNanos;

  KnownLoads(PoolId pool, SharedTables tables, Clock clock) {
    this.pool = pool;
    this.tables = tables;
    this.clock = clock;
  }

  /** Returns the board's run whose changes are to be told; 0 if all is. */
  long boardRun() {
    boolean isRecent = clock.nanoTime() - learnedNanos <= VERSION_TTL.toNanos();
    return isRecent ? boardRun : 0;
  }

  long version() {
    return version;
  }

  /** Keeps what is known for a while, as another board is asked from now on. */
  void boardChanged() {
    if (boardRun != 0) {
      keepPrevious();
    }
    boardRun = 0;
    version = 0;
  }

  /** What is kept from an earlier change stays, so that changes in a row don't prolong it. */
  private void keepPrevious() {
    long nowNanos = clock.nanoTime();
    boolean hasPrevious = !previous.isEmpty() && previousUntilNanos - nowNanos >= 0;
    if (!hasPrevious && nowNanos - learnedNanos <= VERSION_TTL.toNanos()) {
      previous = Map.copyOf(loads);
      previousRun = boardRun;
      previousUntilNanos = nowNanos + PREVIOUS_TTL.toNanos();
    }
  }

  /** Learns an answer; returns whether the load of the others may have changed. */
  boolean learn(BoardAnswer answer) {
    boolean isOtherRun = answer.getRun() != boardRun;
    if (isOtherRun && boardRun != 0) {
      keepPrevious();
    }
    boardRun = answer.getRun();
    version = answer.getVersion();
    learnedNanos = clock.nanoTime();
    if (answer.getAllLoads()) {
      loads.clear();
    }
    for (BoardLoadData data : answer.getLoadsList()) {
      UpstreamLoad load = BoardCodec.load(data);
      if (load.equals(UpstreamLoad.NONE)) {
        loads.remove(data.getId());
      } else {
        loads.put(data.getId(), load);
      }
    }
    boolean changed = answer.getAllLoads() || answer.getLoadsCount() > 0 || !previous.isEmpty();
    if (answer.getRun() == previousRun) {
      previous = Map.of();
    }
    if (changed) {
      tables.loads().replaceRemote(pool.label(), effective());
    } else {
      tables.loads().confirmRemote(pool.label());
    }
    learnDemand(answer);
    return changed;
  }

  private void learnDemand(BoardAnswer answer) {
    if (!pool.isFirst()) {
      return;
    }
    if (answer.getHasDemand()) {
      demand =
          answer.getDemandList().stream()
              .map(data -> BoardCodec.demand(pool.service(), data))
              .toList();
    }
    tables.demand().replaceOthers(pool.service(), demand);
  }

  private Map<String, UpstreamLoad> effective() {
    if (!previous.isEmpty() && clock.nanoTime() - previousUntilNanos > 0) {
      previous = Map.of();
    }
    if (previous.isEmpty()) {
      return Map.copyOf(loads);
    }
    Map<String, UpstreamLoad> higher = new HashMap<>(previous);
    loads.forEach((id, load) -> higher.merge(id, load, UpstreamLoad::max));
    return higher;
  }

  /** Forgets what the board told. */
  void close() {
    tables.loads().removeRemote(pool.label());
  }
}
