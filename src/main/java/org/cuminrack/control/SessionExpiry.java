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
 * Ends sessions whose lease is surely over, and lets the state's time pass. Driven by a periodic
 * tick of one thread; only the leader does anything.
 */
final class SessionExpiry {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ControlParts parts;
  private final long suspensionNanos;
  private final Set<Long> ending = ConcurrentHashMap.newKeySet();
  private volatile boolean ticking;
  private long lastTickNanos;

  /** Begins; a tick that comes later than half a lease after the last one was held up. */
  SessionExpiry(ControlParts parts, LeaseSettings settings) {
    this.parts = parts;
    this.suspensionNanos = settings.lease().dividedBy(2).toNanos();
    this.lastTickNanos = parts.clock().nanoTime();
  }

  void tick() {
    long nowNanos = parts.clock().nanoTime();
    boolean suspended = nowNanos - lastTickNanos > suspensionNanos;
    lastTickNanos = nowNanos;
    Optional<Leadership.Term> term = parts.leadership().term();
    if (term.isEmpty()) {
      return;
    }
    if (suspended) {
      term.get().leases().extendAll(nowNanos);
    }
    endExpired(term.get(), nowNanos);
    passTime(term.get());
  }

  private void endExpired(Leadership.Term term, long nowNanos) {
    List<MemberData> open = parts.state().members();
    term.leases().retain(open.stream().map(MemberData::getSessionId).collect(Collectors.toSet()));
    for (long sessionId : term.leases().takeExpired(open, nowNanos)) {
      if (ending.add(sessionId)) {
        end(sessionId);
      }
    }
  }

  private void end(long sessionId) {
    EndSession command = EndSession.newBuilder().setSessionId(sessionId).setExpired(true).build();
    logger.atInfo().log("%s", LogEvent.named("session-expired").with("session", sessionId));
    parts
        .proposer()
        .propose(Command.newBuilder().setEndSession(command))
        .whenComplete((outcome, failure) -> ending.remove(sessionId));
  }

  private void passTime(Leadership.Term term) {
    if (ticking || !parts.state().hasExpired(term.time().nowMillis())) {
      return;
    }
    ticking = true;
    parts
        .proposer()
        .propose(Command.newBuilder().setTick(Tick.getDefaultInstance()))
        .whenComplete((outcome, failure) -> ticking = false);
  }
}
