package org.cuminrack.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome;
import org.cuminrack.pool.OutstandingTickets.OutstandingTicket;

/**
 * Decides which requests run on which upstreams of one pool, and when. Performs no I/O, reads no
 * clock and is not thread-safe. Methods that may change which requests can run return the resulting
 * decisions, which may concern requests other than the one passed in.
 */
public final class PoolCore {
  private final PoolKey key;
  private final long epoch;
  private final PoolContext context;
  private final UpstreamTable upstreams;
  private final AdmissionQueue queue;
  private final PlacementPolicy placement;
  private final RequestFactory requests;
  private final AdmissionRules admissionRules;
  private final TicketIssuer issuer;
  private final OutstandingTickets outstanding = new OutstandingTickets();
  private List<PoolDecision> decisions = new ArrayList<>();
  private boolean admitting = true;

  /**
   * Creates a pool without upstreams or requests. If it may have had another owner before, {@link
   * #formerOwnerMayAdmit} must be called first.
   */
  public PoolCore(PoolKey key, PolicyKind policy, long epoch) {
    this.key = key;
    this.epoch = epoch;
    this.context = new PoolContext(policy);
    this.upstreams = new UpstreamTable(context);
    this.queue = new AdmissionQueue(context);
    this.placement = policy.newPlacement();
    this.requests = new RequestFactory(context);
    this.admissionRules = new AdmissionRules(context, upstreams);
    this.issuer = new TicketIssuer(key, epoch);
  }

  public PoolKey key() {
    return key;
  }

  /** Returns the membership epoch under which this pool admits requests. */
  public long epoch() {
    return epoch;
  }

  /**
   * Records that a former owner may still admit requests unknown to this one. Upstreams that
   * announce themselves get no requests until {@link #formerOwnerStopped} was called and a report
   * shows what they run, or until a hand-over arrives.
   */
  public void formerOwnerMayAdmit() {
    upstreams.formerOwnerMayAdmit();
  }

  /** Records that every former owner had stopped by this time; hand-overs may still arrive. */
  public void formerOwnerStopped(long stoppedNanos) {
    upstreams.formerOwnerStopped(stoppedNanos);
  }

  /**
   * Applies new rules. Queued requests that they make suspects move to the queue of suspects, and
   * those with too many crashes are refused.
   */
  public List<PoolDecision> applyRules(PoolRules next, long nowNanos) {
    beginEvent(nowNanos);
    context.setRules(next);
    queue.applyRules(decisions);
    return endEvent();
  }

  /** Returns whether an upstream has announced itself with this boot id. */
  public boolean hasUpstream(String upstream, String bootId) {
    return upstreams.find(upstream, bootId).isPresent();
  }

  /**
   * Handles an announcement. An upstream with a new boot id starts at its cold limit, see {@link
   * Announcement}.
   */
  public List<PoolDecision> announced(Announcement announcement, long nowNanos) {
    beginEvent(nowNanos);
    upstreams.announced(announcement);
    return endEvent();
  }

  /** Handles a load report; ignores one with an unknown boot id. */
  public List<PoolDecision> reported(Report report, long nowNanos) {
    beginEvent(nowNanos);
    upstreams
        .find(report.upstream(), report.bootId())
        .ifPresent(each -> each.reported(report, nowNanos));
    return endEvent();
  }

  /** Applies changes of an upstream's prefix cache. */
  public void cacheChanged(CacheEvents events) {
    upstreams
        .find(events.upstream(), events.bootId())
        .ifPresent(
            each -> {
              context.prefixes().add(each.slot(), events.stored());
              context.prefixes().remove(each.slot(), events.removed());
            });
  }

  /** Removes an upstream until it announces itself again. */
  public List<PoolDecision> removeUpstream(String upstream, long nowNanos) {
    beginEvent(nowNanos);
    upstreams.remove(upstream);
    return endEvent();
  }

  /**
   * Submits a request.
   *
   * @param requestId unique id that decisions refer to
   */
  public List<PoolDecision> submit(long requestId, AdmissionRequest request, long nowNanos) {
    beginEvent(nowNanos);
    QueuedRequest queued = requests.create(requestId, request, nowNanos);
    Optional<RefusalReason> refusalReason = admissionRules.refusalReason(queued, admitting);
    if (refusalReason.isPresent()) {
      queue.refuse(queued, refusalReason.get(), upstreams, decisions);
      return endEvent();
    }
    queue.add(queued);
    admitQueued();
    queue.refuseIfOverloaded(queued, upstreams, decisions);
    return endEvent();
  }

  /** Cancels a request: removes it from the queue, or returns its ticket as not sent. */
  public List<PoolDecision> cancel(long requestId, long nowNanos) {
    Optional<Long> ticketId = outstanding.ticketIdOf(requestId);
    if (ticketId.isPresent()) {
      TicketOutcome notSent = new TicketOutcome(TicketOutcome.Result.NOT_SENT, 0, Duration.ZERO);
      return returnTicket(ticketId.get(), notSent, nowNanos);
    }
    beginEvent(nowNanos);
    queue.remove(requestId);
    return endEvent();
  }

  /** Handles a returned ticket; ignores an unknown one. */
  public List<PoolDecision> returnTicket(long ticketId, TicketOutcome outcome, long nowNanos) {
    beginEvent(nowNanos);
    outstanding.remove(ticketId).ifPresent(each -> applyOutcome(each, outcome));
    return endEvent();
  }

  /**
   * Handles a request that is orphaned because the entry that submitted it is lost. A queued
   * request is removed; an admitted one may still run and counts towards the upstream's load until
   * reports show that it has ended.
   */
  public List<PoolDecision> orphaned(long requestId, long nowNanos) {
    beginEvent(nowNanos);
    queue.remove(requestId);
    Optional<OutstandingTicket> ticket =
        outstanding.ticketIdOf(requestId).flatMap(outstanding::remove);
    ticket.ifPresent(each -> each.upstream().orphaned(each.request()));
    ticket.ifPresent(each -> context.usage().remove(each.request().queued()));
    ticket.ifPresent(each -> queue.ticketRemoved(each.request().ticket().id()));
    return endEvent();
  }

  /**
   * Enables or disables admission; enabled initially. While it is disabled, because this entry does
   * not own the pool yet or any more or has no valid lease, every request is refused with {@link
   * RefusalReason#OWNER_MOVING}.
   */
  public List<PoolDecision> setAdmitting(boolean enabled, long nowNanos) {
    beginEvent(nowNanos);
    admitting = enabled;
    if (!enabled) {
      queue.refuseAll(RefusalReason.OWNER_MOVING, upstreams, decisions);
    }
    return endEvent();
  }

  /** Refuses overdue requests and removes expired upstreams; to be called about every 20 ms. */
  public List<PoolDecision> tick(long nowNanos) {
    beginEvent(nowNanos);
    upstreams.removeExpired();
    queue.refuseOverdue(upstreams, decisions);
    return endEvent();
  }

  /** Returns a summary of the pool's capacity and predicted wait. */
  public PoolSummary summary(long nowNanos) {
    context.setNowNanos(nowNanos);
    return PoolSummaries.of(key, upstreams, queue, context);
  }

  /**
   * Returns the state to hand over to the next owner.
   *
   * @param viewEpoch epoch of the view under which this entry releases the pool
   * @param requestKeys maps the local id of each request to its key
   */
  PoolHandOver handOver(long viewEpoch, Function<Long, RequestKey> requestKeys, long nowNanos) {
    return HandOverBuilder.build(
        key, viewEpoch, upstreams, outstanding, context, requestKeys, nowNanos);
  }

  /**
   * Restores the state handed over by the former owner; may be called after admission has begun.
   *
   * @param requestIds maps the request of each ticket to its local id
   */
  List<PoolDecision> restore(
      PoolHandOver handOver, Function<RequestKey, Long> requestIds, long nowNanos) {
    beginEvent(nowNanos);
    HandOverRestorer restorer =
        new HandOverRestorer(upstreams, outstanding, queue, requests, context);
    restorer.restore(handOver, requestIds);
    return endEvent();
  }

  private void beginEvent(long nowNanos) {
    context.setNowNanos(nowNanos);
    decisions = new ArrayList<>();
  }

  private List<PoolDecision> endEvent() {
    admitQueued();
    return decisions;
  }

  private void admitQueued() {
    if (admitting) {
      queue.admit(upstreams, placement, this::admit);
    }
  }

  private void applyOutcome(OutstandingTicket ticket, TicketOutcome outcome) {
    ticket.upstream().finished(ticket.request(), outcome, context.nowNanos());
    context.usage().remove(ticket.request().queued());
    queue.requestFinished(ticket.request(), outcome);
    recordLength(ticket.request(), outcome);
  }

  private long admit(QueuedRequest queued, UpstreamState upstream, boolean exclusive) {
    Ticket ticket = issuer.issue(upstream.announcement(), exclusive, context.nowNanos());
    RunningRequest running = new RunningRequest(ticket, queued, context.nowNanos());
    upstream.admitted(running);
    context.prefixes().add(upstream.slot(), queued.prefix());
    outstanding.add(upstream, running);
    context.usage().add(queued);
    decisions.add(new PoolDecision.Admitted(queued.id(), ticket));
    return ticket.id();
  }

  private void recordLength(RunningRequest request, TicketOutcome outcome) {
    boolean completed = outcome.result() == TicketOutcome.Result.COMPLETED;
    if (completed && outcome.outputTokens() > 0) {
      context.lengths().completed(request.queued().flow(), outcome.outputTokens());
    }
  }
}
