package org.cuminrack.sharing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.gateway.UpstreamLoad;

/**
 * This gateway's exchange with the boards of all pools that it uses. Confined to one thread; the
 * clock and the transport are passed in, so that it runs without a network.
 */
final class PoolClients {
  /** The time between two ticks. */
  static final Duration TICK = Duration.ofMillis(50);

  /** A tick that comes later than this shows that the process was stalled. */
  private static final Duration STALL = Duration.ofMillis(100);

  /** Interval at which the load on a service is refreshed while requests wait for room. */
  private static final Duration WAITING_INTERVAL = Duration.ofMillis(100);

  /** Delay of a report that only an engine has processed a prompt. */
  private static final Duration PREFILL_DELAY = Duration.ofMillis(50);

  /** Interval of reports of generations that grow. */
  private static final Duration GROWTH_INTERVAL = Duration.ofMillis(250);

  /** Time since the last question for which an upstream's load counts as current. */
  private static final Duration CURRENT_TIME = Duration.ofMillis(200);

  private final SharingContext context;
  private final Map<PoolId, PoolClient> clients = new HashMap<>();
  private final Map<PoolId, Long> askedNanos = new ConcurrentHashMap<>();
  private long lastTickNanos;
  private long lastWaitingNanos;

  PoolClients(SharingContext context) {
    this.context = context;
    lastTickNanos = context.clock().nanoTime();
    lastWaitingNanos = lastTickNanos;
  }

  private PoolClient client(PoolId pool) {
    return clients.computeIfAbsent(pool, key -> new PoolClient(key, context));
  }

  /** Returns whether the load on an upstream was asked for lately. Thread-safe. */
  boolean isCurrent(UpstreamRecord upstream) {
    if (!context.pools().asksPart(upstream.service())) {
      return true;
    }
    Long asked = askedNanos.get(context.pools().of(upstream));
    return asked != null && context.clock().nanoTime() - asked <= CURRENT_TIME.toNanos();
  }

  /** Runs a task once the load on a service's upstreams is recent. */
  void refresh(String service, Runnable then) {
    List<PoolId> pools = context.pools().toAsk(service);
    AtomicInteger missing = new AtomicInteger(pools.size());
    Runnable answered =
        () -> {
          if (missing.decrementAndGet() == 0) {
            then.run();
          }
        };
    long nowNanos = context.clock().nanoTime();
    pools.forEach(
        pool -> {
          askedNanos.put(pool, nowNanos);
          client(pool).ask(answered);
        });
  }

  /** Tells the board of an upstream that this gateway's load on it has changed. */
  void ownLoadChanged(String upstreamId, UpstreamLoad change) {
    context
        .pools()
        .of(upstreamId)
        .map(this::client)
        .ifPresent(
            client -> {
              if (change.requests() != 0) {
                client.tellWithin(Duration.ZERO);
              } else if (change.pendingPrefillTokens() != 0) {
                client.tellWithin(PREFILL_DELAY);
              } else {
                client.tellAfterLast(GROWTH_INTERVAL);
              }
            });
  }

  /**
   * Sends what has become due; call it at each {@link #TICK}.
   *
   * @param waitingServices the services for which requests wait for room
   */
  void tick(Set<String> waitingServices) {
    long nowNanos = context.clock().nanoTime();
    boolean mayBeStalled = nowNanos - lastTickNanos > STALL.toNanos();
    lastTickNanos = nowNanos;
    if (!clients.isEmpty()) {
      removeFormerPools();
      Map<PoolId, OwnState> states = OwnState.byPool(context.tables(), context.pools());
      states.keySet().forEach(this::client);
      for (PoolClient client : List.copyOf(clients.values())) {
        OwnState state = states.getOrDefault(client.pool(), OwnState.empty());
        client.tick(
            state.withDemand(OwnState.demand(client.pool(), context.tables())), mayBeStalled);
      }
    }
    if (!waitingServices.isEmpty() && nowNanos - lastWaitingNanos >= WAITING_INTERVAL.toNanos()) {
      lastWaitingNanos = nowNanos;
      waitingServices.forEach(service -> refresh(service, context.onChanged()));
    }
  }

  private void removeFormerPools() {
    List<PoolId> former = new ArrayList<>();
    for (PoolId pool : clients.keySet()) {
      if (!context.pools().exists(pool)) {
        former.add(pool);
      }
    }
    former.forEach(pool -> clients.remove(pool).close());
  }

  /** Returns the VM that keeps the board of each pool that this gateway uses. */
  Map<String, String> boardsByPool() {
    Map<String, String> boards = new TreeMap<>();
    clients.forEach((pool, client) -> boards.put(pool.label(), client.boardVm()));
    return boards;
  }
}
