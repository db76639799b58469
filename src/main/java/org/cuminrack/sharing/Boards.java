package org.cuminrack.sharing;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cuminrack.generated.board.BoardAnswer;
import org.cuminrack.generated.board.BoardCall;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;

/**
 * The boards that this gateway keeps. One is created by the first call for its pool and forgotten
 * some time after the last. Thread-safe: one lock.
 */
final class Boards {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final Duration IDLE_TTL = Duration.ofSeconds(10);

  private final Supplier<Set<String>> liveGateways;
  private final Clock clock;
  private final RandomGenerator random;
  private final Map<PoolId, Board> boards = new HashMap<>();

  /**
   * Creates an instance without boards.
   *
   * @param liveGateways supplies the VMs of all gateways that are alive
   */
  Boards(Supplier<Set<String>> liveGateways, Clock clock, RandomGenerator random) {
    this.liveGateways = liveGateways;
    this.clock = clock;
    this.random = random;
  }

  /** Answers a call of a gateway. */
  synchronized BoardAnswer handle(BoardCall call) {
    PoolId pool = new PoolId(call.getService(), call.getPool());
    return boards.computeIfAbsent(pool, this::create).handle(call);
  }

  private Board create(PoolId pool) {
    logger.atInfo().log("%s", LogEvent.named("board-created").with("pool", pool.label()));
    // 0 stands for no run.
    return new Board(pool, random.nextLong() | 1, liveGateways, clock);
  }

  /** Forgets the boards that no gateway uses any more. */
  synchronized void removeIdle() {
    if (!boards.isEmpty()) {
      boards.values().removeIf(board -> board.idleTime().compareTo(IDLE_TTL) > 0);
    }
  }

  /** Returns the names of the pools whose boards are kept here. */
  synchronized List<String> pools() {
    return boards.keySet().stream().map(PoolId::label).sorted().toList();
  }
}
