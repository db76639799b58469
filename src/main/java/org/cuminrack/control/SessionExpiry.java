package org.cuminrack.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.cuminrack.generated.control.Command;
import org.cuminrack.generated.control.EndSession;
import org.cuminrack.generated.control.MemberData;
import org.cuminrack.generated.control.Tick;
import org.cuminrack.log.LogEvent;

/**
 * Ends sessions whose lease has expired, and advances the replicated time so that other state can
 * expire. Driven by a periodic tick on one thread; does nothing on followers.
 */
final class SessionExpiry {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ControlContext context;
  private final long maxTickGapNanos;
  private final Set<Long> pendingEnds = ConcurrentHashMap.newKeySet();
  private volatile boolean tickPending;
  private long lastTickNanos;

  /**
   * Creates an expiry that assumes a suspension of this VM if ticks are over half a lease apart.
   */
  SessionExpiry(ControlContext context, LeaseSettings settings) {
    this.context = context;
    this.maxTickGapNanos = settings.lease().dividedBy(2).toNanos();
    this.lastTickNanos = context.clock().nanoTime();
  }

  void tick() {
    long nowNanos = context.clock().nanoTime();
    boolean suspended = nowNanos - lastTickNanos > maxTickGapNanos;
    lastTickNanos = nowNanos;
    Optional<Leadership.Term> term = context.leadership().term();
    if (term.isEmpty()) {
      return;
    }
    if (suspended) {
      term.get().leases().extendAll(nowNanos);
    }
    endExpired(term.get(), nowNanos);
    advanceTime(term.get());
  }

  private void endExpired(Leadership.Term term, long nowNanos) {
    List<MemberData> open = context.state().members();
    term.leases()
        .retainOnly(open.stream().map(MemberData::getSessionId).collect(Collectors.toSet()));
    for (long sessionId : term.leases().markExpired(open, nowNanos)) {
      if (pendingEnds.add(sessionId)) {
        end(sessionId);
      }
    }
  }

  private void end(long sessionId) {
    EndSession command = EndSession.newBuilder().setSessionId(sessionId).setExpired(true).build();
    logger.atInfo().log("%s", LogEvent.named("session-expired").with("session", sessionId));
    context
        .proposer()
        .propose(Command.newBuilder().setEndSession(command))
        .whenComplete((outcome, failure) -> pendingEnds.remove(sessionId));
  }

  private void advanceTime(Leadership.Term term) {
    if (tickPending || !context.state().hasExpired(term.clock().nowMillis())) {
      return;
    }
    tickPending = true;
    context
        .proposer()
        .propose(Command.newBuilder().setTick(Tick.getDefaultInstance()))
        .whenComplete((outcome, failure) -> tickPending = false);
  }
}
