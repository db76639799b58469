package org.cuminrack.sharing;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminrack.fleet.GatewayRecord;
import org.cuminrack.generated.board.BoardAnswer;
import org.cuminrack.generated.board.BoardCall;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;

/**
 * This gateway's exchange with the board of one pool: one call at a time, which tells the own load
 * and asks for that of the others. Confined to one thread.
 */
final class PoolClient {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Half of the time after which a board's counts are not known any more. */
  private static final Duration COUNTS_INTERVAL = Duration.ofMillis(250);

  private static final Duration REPEAT_INTERVAL = Duration.ofMillis(500);

  /** The age of an answer up to which a request is placed by it: some round trips. */
  private static final Duration MAX_AGE = Duration.ofMillis(10);

  private final PoolId pool;
  private final SharingContext context;
  private final SharedTables tables;
  private final Clock clock;
  private final KnownLoads others;
  private final PaceReports paceReports;

  private List<Runnable> waiting = new ArrayList<>();
  private String boardVm = "";
  private ToldState told;
  private InFlight inFlight;
  private long lastNumber;
  private long lastSentNanos;
  private long dueNanos;
  private boolean isDue;
  private boolean isAnswered;
  private long answeredNanos;

  private record InFlight(GatewayRecord board, ToldState sent, long sentNanos) {}

  PoolClient(PoolId pool, SharingContext context) {
    this.pool = pool;
    this.context = context;
    tables = context.tables();
    clock = context.clock();
    others = new KnownLoads(pool, tables, clock);
    paceReports = new PaceReports(pool, context);
  }

  PoolId pool() {
    return pool;
  }

  /** Returns the VM of the board that was called last; empty before the first call. */
  String boardVm() {
    return boardVm;
  }

  /** Returns whether the load of the others is known to be recent. */
  boolean isFresh() {
    return isAnswered && clock.nanoTime() - answeredNanos <= MAX_AGE.toNanos();
  }

  /** Runs a task after the next answer; at once if the last is recent. */
  void ask(Runnable then) {
    if (isFresh()) {
      then.run();
      return;
    }
    context.counters().add(SharingCounters.Kind.QUESTIONS);
    waiting.add(then);
    if (inFlight == null) {
      send();
    }
  }

  /** Tells the board of a change after a delay; zero sends it now, or after the call under way. */
  void tellWithin(Duration delay) {
    long newDueNanos = clock.nanoTime() + delay.toNanos();
    if (!isDue || newDueNanos - dueNanos < 0) {
      isDue = true;
      dueNanos = newDueNanos;
    }
    sendIfDue();
  }

  /** Tells the board of a change once some time has passed since the last call. */
  void tellAfterLast(Duration interval) {
    long sinceLastNanos = clock.nanoTime() - lastSentNanos;
    tellWithin(Duration.ofNanos(Math.max(0, interval.toNanos() - sinceLastNanos)));
  }

  private void sendIfDue() {
    if (isDue && inFlight == null && clock.nanoTime() - dueNanos >= 0) {
      send();
    }
  }

  /**
   * Sends what has become due, and turns to another board if this one does not answer in time.
   *
   * @param mayBeStalled whether this process was stalled, so that answers may be unread
   */
  void tick(OwnState current, boolean mayBeStalled) {
    long nowNanos = clock.nanoTime();
    if (inFlight != null) {
      Duration timeout = context.choice().answerTimeout(inFlight.board.vm());
      if (!mayBeStalled && nowNanos - inFlight.sentNanos > timeout.toNanos()) {
        context.counters().add(SharingCounters.Kind.TIMEOUTS);
        fail(inFlight, "timeout");
      }
      return;
    }
    OwnState last = told == null ? OwnState.empty() : told.state();
    boolean hasNotice =
        !last.leaving().containsAll(current.leaving())
            || !last.observedLimits().equals(current.observedLimits());
    boolean hasCounts = current.usesLimits() || last.usesLimits();
    boolean isActive = current.isActive() || last.isActive();
    if (hasNotice) {
      tellWithin(Duration.ZERO);
    } else if (hasCounts || !current.demand().equals(last.demand())) {
      tellAfterLast(COUNTS_INTERVAL);
    } else if (isActive) {
      tellAfterLast(REPEAT_INTERVAL);
    } else {
      sendIfDue();
    }
  }

  private void send() {
    isDue = false;
    Optional<GatewayRecord> board = context.choice().boardOf(pool);
    if (board.isEmpty()) {
      runWaiting();
      return;
    }
    if (!board.get().vm().equals(boardVm)) {
      changeBoard(board.get().vm());
    }
    lastNumber++;
    lastSentNanos = clock.nanoTime();
    OwnState state = OwnState.of(pool, tables, context.pools());
    InFlight call = new InFlight(board.get(), new ToldState(lastNumber, state), lastSentNanos);
    inFlight = call;
    context.transport().call(board.get(), message(state), result -> onResult(call, result));
  }

  private void changeBoard(String newBoardVm) {
    logger.atInfo().log(
        "%s",
        LogEvent.named("board-changed")
            .with("pool", pool.label())
            .with("from", boardVm.isEmpty() ? "none" : boardVm)
            .with("to", newBoardVm));
    boardVm = newBoardVm;
    told = null;
    paceReports.reset();
    others.boardChanged();
  }

  private BoardCall message(OwnState state) {
    BoardCall.Builder call =
        BoardCall.newBuilder()
            .setVm(context.vm())
            .setGatewayRun(context.runMillis())
            .setNumber(lastNumber)
            .setService(pool.service())
            .setPool(pool.index())
            .setKnownRun(others.boardRun())
            .setKnownVersion(others.version());
    ToldState.addLoads(call, told, state);
    state.limits().forEach(share -> call.addLimits(BoardCodec.data(share)));
    state.leaving().forEach(upstream -> call.addLeaving(BoardCodec.data(upstream)));
    boolean demandIsNew = told == null || !state.demand().equals(told.state().demand());
    if (demandIsNew || call.getBaseNumber() == 0) {
      call.setHasDemand(true);
      state.demand().forEach(demand -> call.addDemand(BoardCodec.data(demand)));
    }
    paceReports.take().forEach(pace -> call.addPaces(BoardCodec.data(pace)));
    return call.build();
  }

  private void onResult(InFlight call, Optional<BoardAnswer> result) {
    if (result.isPresent()) {
      context.choice().recordAnswer(call.board.vm());
    }
    if (inFlight == null || inFlight.sent.number() != call.sent.number()) {
      // A late answer: the call counts as failed and another one may have gone elsewhere since.
      return;
    }
    if (result.isEmpty()) {
      fail(call, "no answer");
      return;
    }
    inFlight = null;
    learn(call, result.get());
    if (result.get().getNeedsAllLoads()) {
      send();
    } else {
      sendIfDue();
    }
  }

  private void learn(InFlight call, BoardAnswer answer) {
    told = answer.getNeedsAllLoads() ? null : call.sent;
    isAnswered = true;
    answeredNanos = clock.nanoTime();
    boolean changed = others.learn(answer);
    tables
        .rateLimits()
        .replaceRemote(
            pool.label(),
            answer.getLimitsList().stream().map(BoardCodec::share).toList(),
            answer.getSilentGateways());
    if (answer.getLeavingCount() > 0) {
      tables
          .notices()
          .addRemote(
              call.board.vm(),
              answer.getLeavingList().stream().map(BoardCodec::incarnation).toList());
    }
    if (answer.getPacesCount() > 0) {
      tables.paces().mergeRemote(answer.getPacesList().stream().map(BoardCodec::pace).toList());
    }
    runWaiting();
    if (changed) {
      context.onChanged().run();
    }
  }

  private void runWaiting() {
    if (!waiting.isEmpty()) {
      List<Runnable> released = waiting;
      waiting = new ArrayList<>();
      released.forEach(Runnable::run);
    }
  }

  /** Turns to the next board and tells it everything. */
  private void fail(InFlight call, String cause) {
    logger.atInfo().log(
        "%s",
        LogEvent.named("board-silent")
            .with("pool", pool.label())
            .with("board", call.board.vm())
            .with("cause", cause));
    inFlight = null;
    told = null;
    paceReports.reset();
    context.choice().avoid(call.board.vm());
    send();
  }

  /** Forgets what was learned; the pool does not exist any more. */
  void close() {
    runWaiting();
    others.close();
  }
}
