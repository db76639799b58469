package org.cuminrack.control;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.lifecycle.ServiceThreads;
import org.cuminrack.log.LogEvent;
import org.cuminrack.quorum.ReplicatedLog;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireHandler;
import org.cuminrack.wire.WireServer;

/**
 * Serves entries and operators from the replicated state. Only the leader serves requests; the
 * other control VMs redirect to it.
 */
public final class ControlService implements ManagedService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

  private final ControlContext context;
  private final SessionHandlers sessions;
  private final CommandHandlers commands;
  private final SessionExpiry expiry;
  private final RenewalExchange renewals;
  private ScheduledExecutorService worker;

  /**
   * Creates a service.
   *
   * @param renewals tells the other control VMs of the renewals of leases
   */
  public ControlService(
      ReplicatedLog log,
      ControlState state,
      LeaseSettings settings,
      RenewalExchange renewals,
      Clock clock) {
    this.renewals = renewals;
    context = ControlContext.of(log, state, settings, renewals, clock);
    sessions = new SessionHandlers(context, () -> runOnWorker(this::acknowledgementReceived));
    commands = new CommandHandlers(context.proposer());
    expiry = new SessionExpiry(context, settings);
    state.onRevisionChange(() -> runOnWorker(this::revisionChanged));
  }

  /** Registers this service's methods with a server; call before the server starts. */
  public void register(WireServer server) {
    handlers().forEach(server::serve);
  }

  /** Returns the handler of each method. */
  Map<Method, WireHandler> handlers() {
    Map<Method, WireHandler> handlers = new EnumMap<>(Method.class);
    handlers.put(Method.OPEN_SESSION, toWireHandler(sessions::open));
    handlers.put(Method.RENEW_SESSION, toWireHandler(sessions::renew));
    handlers.put(Method.CLOSE_SESSION, toWireHandler(sessions::close));
    handlers.put(Method.FETCH_STATE, toWireHandler(sessions::fetch));
    handlers.put(Method.IN_FORCE, toWireHandler(sessions::inForce));
    handlers.put(Method.CHANGE, toWireHandler(commands::applyChange));
    handlers.put(Method.CLAIM_CALL, toWireHandler(commands::claimCall));
    handlers.put(Method.FINISH_CALL, toWireHandler(commands::finishCall));
    handlers.put(Method.REPORT_CRASH, toWireHandler(commands::reportCrash));
    handlers.put(Method.CLEAR_SUSPECT, toWireHandler(commands::clearSuspect));
    handlers.put(Method.TRY_SUSPECT, toWireHandler(commands::trySuspect));
    handlers.put(Method.RECORD_DEPARTURE, toWireHandler(commands::recordDeparture));
    handlers.put(Method.TAKE_FENCING_NUMBER, toWireHandler(commands::allocateFencingNumber));
    return handlers;
  }

  @Override
  public synchronized void start() {
    worker = ServiceThreads.scheduler("control-service");
    worker.scheduleWithFixedDelay(
        this::tickOrLog, 0, TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public synchronized void stop() {
    if (worker != null) {
      worker.shutdownNow();
      worker = null;
    }
  }

  /** Ends expired sessions and completes due reads; called periodically. */
  void tick() {
    renewals.tick();
    expiry.tick();
    sessions.refreshInForce();
    context.pendingReads().completeDue();
  }

  private void tickOrLog() {
    try {
      tick();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("%s", LogEvent.named("control-tick-failed"));
    }
  }

  private void revisionChanged() {
    sessions.refreshInForce();
    context.pendingReads().completeDue();
  }

  private void acknowledgementReceived() {
    if (sessions.refreshInForce()) {
      context.pendingReads().completeDue();
    }
  }

  private void runOnWorker(Runnable task) {
    ExecutorService executor;
    synchronized (this) {
      executor = worker;
    }
    if (executor == null) {
      return;
    }
    try {
      executor.execute(task);
    } catch (RejectedExecutionException e) {
      // The service was stopped concurrently, so the task is dropped.
    }
  }

  private static WireHandler toWireHandler(Handler handler) {
    return payload -> {
      try {
        return handler.handle(payload);
      } catch (InvalidProtocolBufferException e) {
        return CompletableFuture.completedFuture(Replies.refused("unreadable: " + e.getMessage()));
      }
    };
  }

  /** Handles the calls of one method; throws if the payload can't be parsed. */
  private interface Handler {
    CompletableFuture<byte[]> handle(byte[] payload) throws InvalidProtocolBufferException;
  }
}
