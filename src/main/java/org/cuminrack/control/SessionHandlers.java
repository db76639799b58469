package org.cuminrack.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.cuminrack.generated.control.CloseSessionRequest;
import org.cuminrack.generated.control.Command;
import org.cuminrack.generated.control.EndSession;
import org.cuminrack.generated.control.FetchRequest;
import org.cuminrack.generated.control.InForceReply;
import org.cuminrack.generated.control.InForceRequest;
import org.cuminrack.generated.control.MarkStopping;
import org.cuminrack.generated.control.MemberData;
import org.cuminrack.generated.control.MemberStatus;
import org.cuminrack.generated.control.OpenSessionRequest;
import org.cuminrack.generated.control.RenewReply;
import org.cuminrack.generated.control.RenewRequest;
import org.cuminrack.quorum.ProposalFailure;
import org.cuminrack.quorum.ReplicatedLog;
import org.cuminrack.time.Clock;

/** Handles entries' session requests, state fetches and in-force queries. */
final class SessionHandlers {
  /** Maximum wait of a long poll. */
  static final Duration MAX_WAIT = Duration.ofSeconds(30);

  private static final ProposalFailure RENEWAL_NOT_SHARED =
      new ProposalFailure.OutcomeUnknown("expected a majority of voters to know of the renewal");

  private final ReplicatedLog log;
  private final ControlState state;
  private final Leadership leadership;
  private final Proposer proposer;
  private final LeadershipConfirmer confirmer;
  private final PendingReads pendingReads;
  private final RenewalBatcher renewals;
  private final Clock clock;
  private final Runnable onNewAcknowledgement;
  private final AtomicLong lastPollNumber = new AtomicLong();
  private volatile long lastInForceRevision;

  SessionHandlers(ControlContext context, Runnable onNewAcknowledgement) {
    this.log = context.log();
    this.state = context.state();
    this.leadership = context.leadership();
    this.proposer = context.proposer();
    this.confirmer = context.confirmer();
    this.pendingReads = context.pendingReads();
    this.renewals = context.renewals();
    this.clock = context.clock();
    this.onNewAcknowledgement = onNewAcknowledgement;
  }

  CompletableFuture<byte[]> open(byte[] payload) throws InvalidProtocolBufferException {
    OpenSessionRequest request = OpenSessionRequest.parseFrom(payload);
    if (request.getToken().isEmpty() || request.getName().isEmpty()) {
      return completed(Replies.refused("expected a token and a name"));
    }
    return proposer.proposeAndReply(Command.newBuilder().setOpenSession(request));
  }

  CompletableFuture<byte[]> close(byte[] payload) throws InvalidProtocolBufferException {
    CloseSessionRequest request = CloseSessionRequest.parseFrom(payload);
    long sessionId = request.getSessionId();
    Command.Builder command = Command.newBuilder();
    if (request.getOnlyMarkStopping()) {
      command.setMarkStopping(MarkStopping.newBuilder().setSessionId(sessionId));
    } else {
      command.setEndSession(EndSession.newBuilder().setSessionId(sessionId));
    }
    return proposer.proposeAndReply(command);
  }

  /**
   * Renews a lease. The leader starts the lease when the request arrives, the entry when it sends
   * it, so the entry's ends first. The reply waits for a leadership confirmation that started after
   * the arrival, so no later leader was elected before it, and until a majority of voters knows of
   * the renewal, so that a later leader learns of it.
   */
  CompletableFuture<byte[]> renew(byte[] payload) throws InvalidProtocolBufferException {
    RenewRequest request = RenewRequest.parseFrom(payload);
    Optional<Leadership.Term> term = leadership.term();
    if (term.isEmpty()) {
      return completed(Replies.notLeader(log.leader()));
    }
    long arrivalNanos = clock.nanoTime();
    boolean renewed =
        state.isOpen(request.getSessionId()) && renew(term.get(), request, arrivalNanos);
    CompletableFuture<Boolean> shared =
        renewed
            ? renewals.share(term.get().number(), request.getSessionId(), arrivalNanos)
            : CompletableFuture.completedFuture(true);
    return confirmer
        .confirm()
        .thenCombine(
            shared,
            (outcome, isShared) ->
                outcome
                    .filterOrElse(index -> isShared, index -> RENEWAL_NOT_SHARED)
                    .fold(Replies::of, index -> renewReply(term.get(), request, renewed)));
  }

  private boolean renew(Leadership.Term term, RenewRequest request, long arrivalNanos) {
    LeaseTable.Renewal renewal =
        term.leases()
            .renew(request.getSessionId(), request.getAcknowledgedRevision(), arrivalNanos);
    if (renewal == LeaseTable.Renewal.NEW_REVISION) {
      onNewAcknowledgement.run();
    }
    return renewal != LeaseTable.Renewal.REFUSED;
  }

  private byte[] renewReply(Leadership.Term term, RenewRequest request, boolean renewed) {
    if (!leadership.term().equals(Optional.of(term))) {
      return Replies.notLeader(log.leader());
    }
    return Replies.ok(
        RenewReply.newBuilder()
            .setRenewed(renewed && state.isOpen(request.getSessionId()))
            .setRevision(state.revision())
            .setInForceRevision(inForceRevision())
            .build());
  }

  CompletableFuture<byte[]> fetch(byte[] payload) throws InvalidProtocolBufferException {
    FetchRequest request = FetchRequest.parseFrom(payload);
    if (leadership.term().isEmpty()) {
      return completed(Replies.notLeader(log.leader()));
    }
    if (request.getLinearizable()) {
      return confirmer
          .confirm()
          .thenApply(outcome -> outcome.fold(Replies::of, index -> fetchReply(request)));
    }
    String reader =
        request.getSessionId() == 0
            ? "wait-" + lastPollNumber.incrementAndGet()
            : "session-" + request.getSessionId();
    return pendingReads.replyOrAdd(
        reader,
        deadlineNanos(request.getWaitMillis()),
        () -> hasNewerState(request),
        () -> fetchReply(request));
  }

  private boolean hasNewerState(FetchRequest request) {
    return state.revision() > request.getAfterRevision()
        || lastInForceRevision > request.getKnownInForceRevision()
        || leadership.term().isEmpty();
  }

  private byte[] fetchReply(FetchRequest request) {
    if (leadership.term().isEmpty()) {
      return Replies.notLeader(log.leader());
    }
    return Replies.ok(
        state.changesAfter(request.getAfterRevision()).toBuilder()
            .setInForceRevision(inForceRevision())
            .build());
  }

  CompletableFuture<byte[]> inForce(byte[] payload) throws InvalidProtocolBufferException {
    InForceRequest request = InForceRequest.parseFrom(payload);
    return pendingReads.replyOrAdd(
        "wait-" + lastPollNumber.incrementAndGet(),
        deadlineNanos(request.getWaitMillis()),
        () -> lastInForceRevision >= request.getRevision() || leadership.term().isEmpty(),
        () -> inForceReply(request));
  }

  private byte[] inForceReply(InForceRequest request) {
    Optional<Leadership.Term> term = leadership.term();
    if (term.isEmpty()) {
      return Replies.notLeader(log.leader());
    }
    InForceReply.Builder reply = InForceReply.newBuilder();
    reply.setRevision(state.revision()).setInForceRevision(inForceRevision());
    reply.setInForce(reply.getInForceRevision() >= request.getRevision());
    reply.setLeader(log.leader()).setTerm(term.get().number());
    reply.addAllRollouts(state.routing().getRolloutsList());
    for (MemberData member : state.members()) {
      MemberStatus status = status(term.get().leases(), member);
      reply.addMembers(status);
      if (status.getAcknowledgedRevision() < request.getRevision()) {
        reply.addWaitingFor(member.getName());
      }
    }
    return Replies.ok(reply.build());
  }

  private MemberStatus status(LeaseTable leases, MemberData member) {
    long remainingNanos = leases.remainingNanos(member.getSessionId(), clock.nanoTime());
    return MemberStatus.newBuilder()
        .setMember(member)
        .setAcknowledgedRevision(leases.acknowledgedRevision(member))
        .setLeaseLeftMillis(Duration.ofNanos(remainingNanos).toMillis())
        .build();
  }

  /** Recomputes the in-force revision; returns whether it changed. */
  synchronized boolean refreshInForce() {
    long before = lastInForceRevision;
    lastInForceRevision = inForceRevision();
    return lastInForceRevision != before;
  }

  private long inForceRevision() {
    return leadership.term().map(this::inForceRevision).orElse(0L);
  }

  private long inForceRevision(Leadership.Term term) {
    long revision = state.revision();
    return term.leases().inForceRevision(revision, state.members());
  }

  private long deadlineNanos(int waitMillis) {
    Duration wait = Duration.ofMillis(Math.max(0, waitMillis));
    return clock.nanoTime() + (wait.compareTo(MAX_WAIT) < 0 ? wait : MAX_WAIT).toNanos();
  }

  private static CompletableFuture<byte[]> completed(byte[] reply) {
    return CompletableFuture.completedFuture(reply);
  }
}
