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
 * An entry's session with control: renews the lease and keeps the view up to date. All state
 * changes and listener calls happen on one thread.
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

  // Accessed only on the membership thread.
  private long lastSessionId;
  private String openToken = UUID.randomUUID().toString();
  private boolean opening;
  private boolean renewing;
  private boolean renewalQueued;
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
  public boolean hasValidLease() {
    return lease.isValid(clock.nanoTime());
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
   * Announces to every entry that this one begins a planned stop; the session stays open until
   * {@link #stop}.
   *
   * @return true once that is durable, false if that isn't confirmed before the timeout
   */
  public CompletableFuture<Boolean> markStopping(Duration timeout) {
    thread.execute(() -> stopping = true);
    return calls.close(sessionId, true, timeout);
  }

  /** Releases the lease, then ends the session. */
  @Override
  public void stop() {
    thread.stop();
    lease.release();
    if (sessionId != 0) {
      calls.close(sessionId, false, CLOSE_TIMEOUT).join();
      sessionId = 0;
    }
  }

  /**
   * Opens the session, renews the lease or fetches changes as due; called by a timer or directly by
   * tests.
   */
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
    thenRunOnThread(calls.open(openToken, lastSessionId), this::handleOpenReply);
  }

  private void handleOpenReply(Optional<OpenSessionReply> reply) {
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
      renewalQueued = true;
      return;
    }
    renewing = true;
    renewalQueued = false;
    long renewedSessionId = sessionId;
    long sentNanos = clock.nanoTime();
    lastRenewalNanos = sentNanos;
    thenRunOnThread(
        calls.renew(renewedSessionId, view().revision(), settings.renewInterval()),
        reply -> handleRenewReply(renewedSessionId, sentNanos, reply));
  }

  private void handleRenewReply(long renewedSessionId, long sentNanos, Optional<RenewReply> reply) {
    renewing = false;
    if (reply.isPresent() && renewedSessionId == sessionId) {
      applyRenewal(sentNanos, reply.get());
    }
    if (renewalQueued && sessionId != 0) {
      renew();
    }
  }

  private void applyRenewal(long sentNanos, RenewReply reply) {
    if (!reply.getRenewed()) {
      reopenSession();
      return;
    }
    boolean upToDate = lease.onRenewed(sentNanos, reply.getRevision(), view().revision());
    if (!upToDate && !catchingUp) {
      catchUp();
    }
    entryView.updateInForce(reply.getInForceRevision());
  }

  // The lease must be released before a new session is requested.
  private void reopenSession() {
    lease.release();
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
    thenRunOnThread(
        calls.awaitChange(sessionId, view().revision(), inForceRevision()), this::handleFetchReply);
  }

  private void handleFetchReply(Optional<FetchReply> reply) {
    fetching = false;
    reply.ifPresent(this::applyReply);
    if (reply.isPresent() && sessionId != 0) {
      fetch();
    }
  }

  private void catchUp() {
    catchingUp = true;
    thenRunOnThread(
        calls.fetch(sessionId, view().revision(), settings.renewInterval()),
        reply -> {
          catchingUp = false;
          reply.ifPresent(this::applyReply);
        });
  }

  private void applyReply(FetchReply reply) {
    boolean viewChanged = entryView.apply(reply);
    if (viewChanged && sessionId != 0) {
      acknowledgeView();
    }
  }

  private void acknowledgeView() {
    if (entryView.hasEnded(sessionId)) {
      reopenSession();
      return;
    }
    lease.onApplied(view().revision());
    renew();
  }

  private <T> void thenRunOnThread(CompletableFuture<T> future, Consumer<T> task) {
    future.thenAccept(value -> thread.execute(() -> task.accept(value)));
  }
}
