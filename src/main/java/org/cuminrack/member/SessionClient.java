package org.cuminrack.member;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.cuminrack.control.LeaseSettings;
import org.cuminrack.generated.control.FetchReply;
import org.cuminrack.generated.control.OpenSessionReply;
import org.cuminrack.generated.control.RenewReply;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;

/**
 * An entry's session with control: keeps the lease renewed and the view new. All that changes is
 * changed on one thread; listeners are called there.
 */
public final class SessionClient implements Membership, ManagedService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

  private final SessionCalls calls;
  private final LeaseSettings settings;
  private final Clock clock;
  private final EntryLease lease;
  private final MembershipThread thread = new MembershipThread();
  private final EntryView entryView = new EntryView();

  private volatile long sessionId;

  // Only on the membership's thread.
  private long lastSessionId;
  private String openToken = UUID.randomUUID().toString();
  private boolean opening;
  private boolean renewing;
  private boolean renewAgain;
  private boolean fetching;
  private boolean catchingUp;
  private boolean stopping;
  private long lastRenewalNanos;

  public SessionClient(
      EntryIdentity identity, ControlCalls calls, LeaseSettings settings, Clock clock) {
    this.calls = new SessionCalls(calls, identity);
    this.settings = settings;
    this.clock = clock;
    this.lease = new EntryLease(settings);
  }

  @Override
  public void start() {
    thread.start(this::tick);
  }

  @Override
  public boolean hasFreshLease() {
    return lease.isFresh(clock.nanoTime());
  }

  @Override
  public ClusterView view() {
    return entryView.view();
  }

  @Override
  public long inForceRevision() {
    return entryView.inForceRevision();
  }

  @Override
  public long sessionId() {
    return sessionId;
  }

  @Override
  public void onChange(Consumer<ClusterView> listener) {
    entryView.onChange(listener);
  }

  /**
   * Tells every entry that this one begins a planned stop; the session goes on until {@link #stop}.
   *
   * @return true once that is durable, false where it can't be said in time
   */
  public CompletableFuture<Boolean> markStopping(Duration timeout) {
    thread.execute(() -> stopping = true);
    return calls.close(sessionId, true, timeout);
  }

  /** Ends the lease, then the session. */
  @Override
  public void stop() {
    thread.stop();
    lease.drop();
    if (sessionId != 0) {
      calls.close(sessionId, false, CLOSE_TIMEOUT).join();
      sessionId = 0;
    }
  }

  /** Does what is due; called by the timer, and by tests that have none. */
  public void tick() {
    if (sessionId == 0) {
      open();
      return;
    }
    long sinceRenewalNanos = clock.nanoTime() - lastRenewalNanos;
    if (sinceRenewalNanos >= settings.renewInterval().toNanos()) {
      renew();
    }
    if (!fetching) {
      fetch();
    }
  }

  private void open() {
    if (opening) {
      return;
    }
    opening = true;
    then(calls.open(openToken, lastSessionId), this::opened);
  }

  private void opened(Optional<OpenSessionReply> reply) {
    opening = false;
    if (reply.isEmpty()) {
      return;
    }
    sessionId = reply.get().getSessionId();
    lastSessionId = sessionId;
    logger.atInfo().log("%s", LogEvent.named("session-opened").with("session", sessionId));
    if (stopping) {
      calls.close(sessionId, true, CLOSE_TIMEOUT);
    }
    renew();
    fetch();
  }

  private void renew() {
    if (renewing) {
      renewAgain = true;
      return;
    }
    renewing = true;
    renewAgain = false;
    long renewed = sessionId;
    long sentNanos = clock.nanoTime();
    lastRenewalNanos = sentNanos;
    then(
        calls.renew(renewed, view().revision(), settings.renewInterval()),
        reply -> renewed(renewed, sentNanos, reply));
  }

  private void renewed(long renewed, long sentNanos, Optional<RenewReply> reply) {
    renewing = false;
    if (reply.isPresent() && renewed == sessionId) {
      renewed(sentNanos, reply.get());
    }
    if (renewAgain && sessionId != 0) {
      renew();
    }
  }

  private void renewed(long sentNanos, RenewReply reply) {
    if (!reply.getRenewed()) {
      loseSession();
      return;
    }
    boolean upToDate = lease.renewed(sentNanos, reply.getRevision(), view().revision());
    if (!upToDate && !catchingUp) {
      catchUp();
    }
    entryView.takeInForce(reply.getInForceRevision());
  }

  // The lease is given up before a new session can be asked for.
  private void loseSession() {
    lease.drop();
    logger.atWarning().log("%s", LogEvent.named("session-lost").with("session", sessionId));
    sessionId = 0;
    openToken = UUID.randomUUID().toString();
    open();
  }

  private void fetch() {
    if (fetching) {
      return;
    }
    fetching = true;
    then(calls.awaitChange(sessionId, view().revision(), inForceRevision()), this::fetched);
  }

  private void fetched(Optional<FetchReply> reply) {
    fetching = false;
    reply.ifPresent(this::take);
    if (reply.isPresent() && sessionId != 0) {
      fetch();
    }
  }

  private void catchUp() {
    catchingUp = true;
    then(
        calls.fetch(sessionId, view().revision(), settings.renewInterval()),
        reply -> {
          catchingUp = false;
          reply.ifPresent(this::take);
        });
  }

  private void take(FetchReply reply) {
    boolean isNew = entryView.take(reply);
    if (isNew && sessionId != 0) {
      hasPutInForce();
    }
  }

  private void hasPutInForce() {
    if (entryView.hasEnded(sessionId)) {
      loseSession();
      return;
    }
    lease.putInForce(view().revision());
    renew();
  }

  private <T> void then(CompletableFuture<T> answer, Consumer<T> next) {
    answer.thenAccept(value -> thread.execute(() -> next.accept(value)));
  }
}
