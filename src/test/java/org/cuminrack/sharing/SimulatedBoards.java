package org.cuminrack.sharing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminrack.fairshare.DemandTable;
import org.cuminrack.fleet.GatewayRecord;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.fleet.UpstreamTable;
import org.cuminrack.gateway.LoadTable;
import org.cuminrack.gateway.RequestRateLimits;
import org.cuminrack.gateway.UpstreamLoad;
import org.cuminrack.gateway.UpstreamNotices;
import org.cuminrack.generated.board.BoardAnswer;
import org.cuminrack.generated.board.BoardCall;
import org.cuminrack.time.ManualClock;

/** Gateways that exchange their load through boards, on a manual clock and without a network. */
final class SimulatedBoards {
  static final String SERVICE = "chat";

  private static final Duration LATENCY = Duration.ofMillis(1);
  private static final long THAW_CHECK_MILLIS = 10;
  private static final Duration LATE_ANSWER_TIMEOUT = Duration.ofSeconds(1);

  final ManualClock clock = new ManualClock();
  final UpstreamTable upstreams = new UpstreamTable();
  final List<SimulatedGateway> gateways = new ArrayList<>();

  /** Gateways that neither receive nor send. */
  final Set<String> frozen = new HashSet<>();

  /** The number of the next calls between gateways that are lost. */
  int callsToLose;

  final Random random = new Random(28);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::dueNanos).thenComparingLong(Event::sequence));
  private final Map<String, SimulatedGateway> byVm = new HashMap<>();
  private List<GatewayRecord> live = List.of();
  private long lastSequence;
  long calls;
  long bytes;

  private record Event(long dueNanos, long sequence, Runnable action) {}

  /** One gateway with its tables, its part of the exchange and its boards. */
  final class SimulatedGateway {
    final String vm;
    final LoadTable loads = new LoadTable(clock);
    final DemandTable demand = new DemandTable(clock);
    final UpstreamNotices notices = new UpstreamNotices(clock);
    final SharingCounters counters = new SharingCounters();
    final Set<String> waitingServices = new HashSet<>();
    final Boards boards = new Boards(SimulatedBoards.this::liveVms, clock, random);
    final PoolClients clients;
    int changes;

    SimulatedGateway(String vm) {
      this.vm = vm;
      RequestRateLimits limits = new RequestRateLimits(Set::of, clock, random);
      clients =
          new PoolClients(
              new SharingContext(
                  vm,
                  1 + clock.now().toEpochMilli(),
                  SharedTables.withoutPaces(loads, limits, notices, demand),
                  new Pools(upstreams, clock, random),
                  new BoardChoice(() -> live, clock),
                  (board, call, onResult) -> deliver(vm, board.vm(), call, onResult),
                  counters,
                  () -> changes++,
                  clock));
      loads.onOwnChange((id, change) -> after(0, () -> clients.ownLoadChanged(id, change)));
    }

    /** Adds a request to this gateway's load. */
    void begin(String upstreamId, int tokens) {
      loads.add(upstreamId, new UpstreamLoad(1, tokens, 0));
    }

    /** Ends a request. */
    void end(String upstreamId, int tokens) {
      loads.add(upstreamId, new UpstreamLoad(-1, -tokens, 0));
    }

    /** Asks for the load on the service, and returns whether it is recent within a time. */
    boolean learnsWithin(Duration time) {
      boolean[] answered = {false};
      clients.refresh(SERVICE, () -> answered[0] = true);
      run(time);
      return answered[0];
    }

    int requestsOn(String upstreamId) {
      return loads.total(upstreamId).requests();
    }
  }

  static SimulatedBoards of(int gatewayCount, int upstreamCount) {
    SimulatedBoards boards = new SimulatedBoards();
    for (int i = 0; i < upstreamCount; i++) {
      boards.upstreams.merge(
          new UpstreamRecord(
              "i-" + i,
              SERVICE,
              "10.0.1." + i + ":80",
              "dc-a",
              6,
              UpstreamPhase.READY,
              100,
              1,
              0,
              0));
    }
    for (int i = 0; i < gatewayCount; i++) {
      boards.add("gateway-" + i);
    }
    return boards;
  }

  SimulatedGateway add(String vm) {
    SimulatedGateway gateway = new SimulatedGateway(vm);
    byVm.put(vm, gateway);
    gateways.add(gateway);
    setLive(gateways.stream().map(each -> each.vm).collect(Collectors.toSet()));
    after(random.nextInt(50), () -> tick(gateway));
    return gateway;
  }

  /** Sets the gateways that control names. */
  void setLive(Set<String> vms) {
    live =
        gateways.stream()
            .filter(gateway -> vms.contains(gateway.vm))
            .map(
                gateway ->
                    new GatewayRecord(gateway.vm, "dc-a", "callers", "wire-" + gateway.vm, true))
            .toList();
  }

  private Set<String> liveVms() {
    return live.stream().map(GatewayRecord::vm).collect(Collectors.toSet());
  }

  /** Returns the gateway that keeps the board of the service's first pool. */
  SimulatedGateway board() {
    String vm = new BoardChoice(() -> live, clock).boardOf(new PoolId(SERVICE, 0)).get().vm();
    return byVm.get(vm);
  }

  /** Returns the VMs that keep the boards of the first pools of some services. */
  Map<PoolId, String> boardsOf(int serviceCount) {
    BoardChoice choice = new BoardChoice(() -> live, clock);
    return IntStream.range(0, serviceCount)
        .mapToObj(index -> new PoolId("service-" + index, 0))
        .collect(Collectors.toMap(pool -> pool, pool -> choice.boardOf(pool).get().vm()));
  }

  /** Returns gateways that don't keep the board. */
  List<SimulatedGateway> others() {
    SimulatedGateway board = board();
    return gateways.stream().filter(gateway -> gateway != board).toList();
  }

  private void tick(SimulatedGateway gateway) {
    if (!frozen.contains(gateway.vm)) {
      gateway.clients.tick(gateway.waitingServices);
      gateway.boards.removeIdle();
    }
    after(PoolClients.TICK.toMillis(), () -> tick(gateway));
  }

  void after(long delayMillis, Runnable action) {
    events.add(
        new Event(
            clock.nanoTime() + Duration.ofMillis(delayMillis).toNanos(), ++lastSequence, action));
  }

  /** Lets time pass. */
  void run(Duration time) {
    long endNanos = clock.nanoTime() + time.toNanos();
    while (!events.isEmpty() && events.peek().dueNanos <= endNanos) {
      Event event = events.poll();
      clock.advance(Duration.ofNanos(Math.max(0, event.dueNanos - clock.nanoTime())));
      event.action.run();
    }
    clock.advance(Duration.ofNanos(endNanos - clock.nanoTime()));
  }

  private void deliver(
      String from, String to, BoardCall call, Consumer<Optional<BoardAnswer>> onResult) {
    long latencyMillis = from.equals(to) ? 0 : LATENCY.toMillis();
    if (latencyMillis > 0) {
      calls++;
      bytes += call.getSerializedSize();
      if (callsToLose > 0) {
        callsToLose--;
        after(LATE_ANSWER_TIMEOUT.toMillis(), () -> onResult.accept(Optional.empty()));
        return;
      }
    }
    long expiryNanos = clock.nanoTime() + LATE_ANSWER_TIMEOUT.toNanos();
    after(latencyMillis, () -> arrive(to, call, onResult, latencyMillis, expiryNanos));
  }

  /** Lets a call arrive; a frozen gateway answers once it goes on. */
  private void arrive(
      String to,
      BoardCall call,
      Consumer<Optional<BoardAnswer>> onResult,
      long latencyMillis,
      long expiryNanos) {
    if (!frozen.contains(to)) {
      BoardAnswer answer = byVm.get(to).boards.handle(call);
      bytes += latencyMillis > 0 ? answer.getSerializedSize() : 0;
      after(latencyMillis, () -> onResult.accept(Optional.of(answer)));
    } else if (clock.nanoTime() < expiryNanos) {
      after(THAW_CHECK_MILLIS, () -> arrive(to, call, onResult, latencyMillis, expiryNanos));
    } else {
      onResult.accept(Optional.empty());
    }
  }
}
