package org.cuminrack.sharing;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.cuminrack.fleet.FleetView;
import org.cuminrack.fleet.GatewayRecord;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.gateway.LoadFreshness;
import org.cuminrack.gateway.UpstreamLoad;
import org.cuminrack.generated.board.BoardAnswer;
import org.cuminrack.generated.board.BoardCall;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.lifecycle.ServiceThreads;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireFailure;
import org.cuminrack.wire.WireServer;

/** Exchanges this gateway's load with the boards of the pools that it uses, and keeps boards. */
public final class BoardSharing implements ManagedService, LoadFreshness {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long a request waits for the load of the others before it is placed. */
  private static final Duration MAX_WAIT = Duration.ofMillis(25);

  /** A late answer shows that a board is alive. */
  private static final Duration LATE_ANSWER_TIMEOUT = Duration.ofSeconds(1);

  private static final int TICKS_PER_CLEANUP = 20;

  private final String vm;
  private final WireClient wire;
  private final Supplier<Set<String>> waitingServices;
  private final Clock clock;
  private final Boards boards;
  private final PoolClients clients;
  private final SharedTables tables;
  private final SharingCounters counters = new SharingCounters();

  /** The sums of this gateway's load changes that the worker has not seen. */
  private final Map<String, UpstreamLoad> unseenChanges = new ConcurrentHashMap<>();

  private final AtomicBoolean isFlushQueued = new AtomicBoolean();
  private volatile ScheduledThreadPoolExecutor worker;
  private volatile Map<String, String> boardsByPool = Map.of();
  private int ticks;

  /**
   * Creates a service.
   *
   * @param onChanged called after an answer that may have changed the load of the others
   * @param waitingServices supplies the services for which requests wait for room
   */
  public BoardSharing(
      String vm,
      SharedTables tables,
      FleetView view,
      WireClient wire,
      Runnable onChanged,
      Supplier<Set<String>> waitingServices,
      Clock clock) {
    this.vm = vm;
    this.tables = tables;
    this.wire = wire;
    this.waitingServices = waitingServices;
    this.clock = clock;
    RandomGenerator random = RandomGenerator.getDefault();
    boards = new Boards(() -> liveGateways(view), clock, random);
    clients =
        new PoolClients(
            new SharingContext(
                vm,
                clock.now().toEpochMilli(),
                tables,
                new Pools(view.upstreams(), clock, random),
                new BoardChoice(view::gateways, clock),
                this::call,
                counters,
                onChanged,
                clock));
  }

  private static Set<String> liveGateways(FleetView view) {
    return view.gateways().stream().map(GatewayRecord::vm).collect(Collectors.toSet());
  }

  /** Registers the handler for the calls of other gateways; call before the server starts. */
  public void register(WireServer server) {
    server.serve(Method.BOARD, this::receive);
  }

  private CompletableFuture<byte[]> receive(byte[] payload) {
    try {
      return CompletableFuture.completedFuture(serve(BoardCall.parseFrom(payload)).toByteArray());
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private BoardAnswer serve(BoardCall call) {
    counters.add(SharingCounters.Kind.CALLS_SERVED);
    return boards.handle(call);
  }

  @Override
  public void start() {
    worker = ServiceThreads.scheduler("board-sharing");
    BoardPreload.run(clock);
    tables.loads().onOwnChange(this::ownLoadChanged);
    worker.scheduleWithFixedDelay(
        loggingFailures(this::tick),
        PoolClients.TICK.toMillis(),
        PoolClients.TICK.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    if (worker != null) {
      worker.shutdownNow();
    }
  }

  /** Runs on threads that hold locks of placement, so the worker does the rest. */
  private void ownLoadChanged(String upstreamId, UpstreamLoad change) {
    unseenChanges.merge(upstreamId, change, UpstreamLoad::plus);
    if (change.requests() != 0 && isFlushQueued.compareAndSet(false, true)) {
      execute(this::flush);
    }
  }

  private void flush() {
    isFlushQueued.set(false);
    for (String upstreamId : List.copyOf(unseenChanges.keySet())) {
      UpstreamLoad change = unseenChanges.remove(upstreamId);
      if (change != null) {
        clients.ownLoadChanged(upstreamId, change);
      }
    }
  }

  private void tick() {
    if (!unseenChanges.isEmpty()) {
      flush();
    }
    clients.tick(waitingServices.get());
    ticks++;
    if (ticks % TICKS_PER_CLEANUP == 0) {
      boards.removeIdle();
      boardsByPool = clients.boardsByPool();
    }
  }

  @Override
  public void refresh(String service, Runnable then) {
    AtomicBoolean hasRun = new AtomicBoolean();
    Runnable once =
        () -> {
          if (hasRun.compareAndSet(false, true)) {
            then.run();
          }
        };
    boolean isQueued =
        execute(
            () -> {
              clients.refresh(service, once);
              if (!hasRun.get()) {
                worker.schedule(once, MAX_WAIT.toMillis(), TimeUnit.MILLISECONDS);
              }
            });
    if (!isQueued) {
      once.run();
    }
  }

  @Override
  public boolean isCurrent(UpstreamRecord upstream) {
    return clients.isCurrent(upstream);
  }

  private void call(GatewayRecord board, BoardCall call, Consumer<Optional<BoardAnswer>> onResult) {
    if (board.vm().equals(vm)) {
      execute(() -> onResult.accept(Optional.of(serve(call))));
      return;
    }
    counters.add(SharingCounters.Kind.CALLS_SENT);
    wire.call(board.wireAddress(), Method.BOARD, call.toByteArray(), LATE_ANSWER_TIMEOUT)
        .whenComplete(
            (outcome, failure) ->
                execute(
                    () -> onResult.accept(failure == null ? answer(outcome) : Optional.empty())));
  }

  private static Optional<BoardAnswer> answer(Either<WireFailure, byte[]> outcome) {
    if (outcome.isLeft()) {
      return Optional.empty();
    }
    try {
      return Optional.of(BoardAnswer.parseFrom(outcome.get()));
    } catch (InvalidProtocolBufferException e) {
      logger.atWarning().withCause(e).log("%s", LogEvent.named("board-unreadable"));
      return Optional.empty();
    }
  }

  /** Runs a task on the worker; returns whether it could be queued. */
  private boolean execute(Runnable task) {
    ScheduledThreadPoolExecutor current = worker;
    if (current == null) {
      return false;
    }
    try {
      current.execute(loggingFailures(task));
      return true;
    } catch (RejectedExecutionException e) {
      logger.atFine().log("%s", LogEvent.named("task-dropped-at-stop"));
      return false;
    }
  }

  private static Runnable loggingFailures(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("%s", LogEvent.named("board-sharing-failed"));
      }
    };
  }

  /** Returns the counts of calls and questions. */
  public SharingCounters counters() {
    return counters;
  }

  /** Returns the VM that keeps the board of each pool that this gateway uses, for the dump. */
  public Map<String, String> boardsByPool() {
    return boardsByPool;
  }

  /** Returns the pools whose boards this gateway keeps, for the dump. */
  public List<String> ownBoards() {
    return boards.pools();
  }
}
