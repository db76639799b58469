package org.cuminrack.member;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.cuminrack.control.LeaseSettings;
import org.cuminrack.generated.control.CloseSessionRequest;
import org.cuminrack.generated.control.FetchReply;
import org.cuminrack.generated.control.FetchRequest;
import org.cuminrack.generated.control.OpenSessionReply;
import org.cuminrack.generated.control.OpenSessionRequest;
import org.cuminrack.generated.control.RenewReply;
import org.cuminrack.generated.control.RenewRequest;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;

/**
 * An entry's session with control: keeps the lease renewed and the view new. All that changes is
 * changed on one thread; listeners are called there.
 */
public final class SessionClient implements Membership, ManagedService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long a fetch waits at control for something new. */
  private static final Duration FETCH_WAIT = Duration.ofSeconds(5);

  private static final Duration FETCH_TIMEOUT = FETCH_WAIT.plusSeconds(1);
  private static final Duration OPEN_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

  private final EntryIdentity identity;
  private final ControlCalls calls;
  private final LeaseSettings settings;
  private final Clock clock;
  private final EntryLease lease;
  private final MembershipThread thread = new MembershipThread();
  private final List<Consumer<ClusterView>> listeners = new CopyOnWriteArrayList<>();

  private volatile ClusterView view = ClusterView.empty();
  private volatile long inForceRevision;
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
    this.identity = identity;
    this.calls = calls;
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
    return view;
  }

  @Override
  public long inForceRevision() {
    return inForceRevision;
  }

  @Override
  public long sessionId() {
    return sessionId;
  }

  @Override
  public void onChange(Consumer<ClusterView> listener) {
    listeners.add(listener);
  }

  /**
   * Tells every entry that this one begins a planned stop; the session goes on until {@link #stop}.
   *
   * @return true once that is durable, false where it can't be said in time
   */
  public CompletableFuture<Boolean> markStopping(Duration timeout) {
    thread.execute(() -> stopping = true);
    return close(true, timeout);
  }

  /** Ends the lease, then the session. */
  @Override
  public void stop() {
    thread.stop();
    lease.drop();
    if (sessionId != 0) {
      close(false, CLOSE_TIMEOUT).join();
      sessionId = 0;
    }
  }

  private CompletableFuture<Boolean> close(boolean onlyMarkStopping, Duration timeout) {
    CloseSessionRequest request =
        CloseSessionRequest.newBuilder()
            .setSessionId(sessionId)
            .setOnlyMarkStopping(onlyMarkStopping)
            .build();
    return calls
        .call(Method.CLOSE_SESSION, request.toByteArray(), timeout)
        .thenApply(Either::isRight);
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
    OpenSessionRequest request =
        OpenSessionRequest.newBuilder()
            .setToken(openToken)
            .setName(identity.name())
            .setDataCentre(identity.dataCentre())
            .setHttpAddress(identity.httpAddress())
            .setWireAddress(identity.wireAddress())
            .setReplaces(lastSessionId)
            .build();
    call(Method.OPEN_SESSION, request, OPEN_TIMEOUT, OpenSessionReply.parser(), this::opened);
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
      close(true, CLOSE_TIMEOUT);
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
    RenewRequest request =
        RenewRequest.newBuilder()
            .setSessionId(renewed)
            .setAcknowledgedRevision(view.revision())
            .build();
    call(
        Method.RENEW_SESSION,
        request,
        settings.renewInterval(),
        RenewReply.parser(),
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
    boolean upToDate = lease.renewed(sentNanos, reply.getRevision(), view.revision());
    if (!upToDate && !catchingUp) {
      catchUp();
    }
    if (advanceInForce(reply.getInForceRevision())) {
      notifyListeners();
    }
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
    FetchRequest request =
        FetchRequest.newBuilder()
            .setSessionId(sessionId)
            .setAfterRevision(view.revision())
            .setKnownInForceRevision(inForceRevision)
            .setWaitMillis((int) FETCH_WAIT.toMillis())
            .build();
    call(Method.FETCH_STATE, request, FETCH_TIMEOUT, FetchReply.parser(), this::fetched);
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
    FetchRequest request =
        FetchRequest.newBuilder().setSessionId(sessionId).setAfterRevision(view.revision()).build();
    call(
        Method.FETCH_STATE,
        request,
        settings.renewInterval(),
        FetchReply.parser(),
        reply -> {
          catchingUp = false;
          reply.ifPresent(this::take);
        });
  }

  private void take(FetchReply reply) {
    Optional<ClusterView> next = ViewUpdate.apply(view, reply);
    boolean inForceMoved = advanceInForce(reply.getInForceRevision());
    next.ifPresent(each -> view = each);
    if (next.isPresent() || inForceMoved) {
      notifyListeners();
    }
    if (next.isPresent() && sessionId != 0) {
      hasPutInForce();
    }
  }

  private void hasPutInForce() {
    boolean ended = view.revision() >= sessionId && !isMember(view, sessionId);
    if (ended) {
      loseSession();
      return;
    }
    lease.putInForce(view.revision());
    renew();
  }

  private static boolean isMember(ClusterView view, long sessionId) {
    return view.members().stream().anyMatch(each -> each.sessionId() == sessionId);
  }

  private boolean advanceInForce(long revision) {
    if (revision <= inForceRevision) {
      return false;
    }
    inForceRevision = revision;
    return true;
  }

  private void notifyListeners() {
    ClusterView present = view;
    for (Consumer<ClusterView> each : listeners) {
      each.accept(present);
    }
  }

  private <T> void call(
      Method method,
      MessageLite request,
      Duration timeout,
      Parser<T> parser,
      Consumer<Optional<T>> then) {
    calls
        .call(method, request.toByteArray(), timeout, timeout)
        .whenComplete(
            (outcome, failure) -> {
              boolean answered = failure == null && outcome.isRight();
              Optional<T> reply = answered ? parse(parser, outcome.get()) : Optional.empty();
              thread.execute(() -> then.accept(reply));
            });
  }

  private static <T> Optional<T> parse(Parser<T> parser, byte[] bytes) {
    try {
      return Optional.of(parser.parseFrom(bytes));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }
}
