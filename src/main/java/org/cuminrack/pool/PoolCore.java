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
 * Decides which requests run on which upstreams of one pool, and when. Pure: no input or output, no
 * clock of its own, one caller at a time. Each event returns the decisions that it led to, which
 * may be about other requests than its own.
 */
public final class PoolCore {
  private final PoolKey key;
  private final long epoch;
  private final PoolContext context;
  private final UpstreamTable upstreams;
  private final AdmissionQueue waiting;
  private final PlacementPolicy placement;
  private final RequestFactory requests;
  private final AdmissionRules rules;
  private final TicketIssuer issuer;
  private final OutstandingTickets outstanding = new OutstandingTickets();
  private List<PoolDecision> decisions = new ArrayList<>();
  private boolean admitting = true;

  /** Creates a pool that nobody owned before under this epoch. */
  public PoolCore(PoolKey key, PolicyKind policy, long epoch) {
    this.key = key;
    this.epoch = epoch;
    this.context = new PoolContext(policy);
    this.upstreams = new UpstreamTable(context);
    this.waiting = new AdmissionQueue(context);
    this.placement = policy.newPlacement();
    this.requests = new RequestFactory(context);
    this.rules = new AdmissionRules(context, upstreams);
    this.issuer = new TicketIssuer(key, epoch);
  }

  public PoolKey key() {
    return key;
  }

  /** Returns the member epoch under which this pool admits. */
  public long epoch() {
    return epoch;
  }

  /**
   * A former owner may admit work that this one does not know of. Upstreams that announce
   * themselves get none until {@link #formerOwnerStopped} and a report that shows what they run, or
   * a hand-over.
   */
  public void formerOwnerMayAdmit() {
    upstreams.formerOwnerMayAdmit();
  }

  /** Every former owner had stopped by this time; hand-overs may still come. */
  public void formerOwnerStopped(long stoppedNanos) {
    upstreams.formerOwnerStopped(stoppedNanos);
  }

  /** Puts new rules in force: what waits and may not run any more is refused at once. */
  public List<PoolDecision> applyRules(PoolRules next, long nowNanos) {
    begin(nowNanos);
    context.setRules(next);
    waiting.applyRules(decisions);
    return end();
  }

  /** Tells whether this life of an upstream has announced itself here. */
  public boolean hasUpstream(String upstream, String bootId) {
    return upstreams.find(upstream, bootId).isPresent();
  }

  /** An upstream is there. A boot id that was not known starts at its cold limit. */
  public List<PoolDecision> announced(Announcement announcement, long nowNanos) {
    begin(nowNanos);
    upstreams.announced(announcement);
    return end();
  }

  /** An upstream reports its load; nothing happens where its life isn't known. */
  public List<PoolDecision> reported(Report report, long nowNanos) {
    begin(nowNanos);
    upstreams
        .find(report.upstream(), report.bootId())
        .ifPresent(each -> each.reported(report, nowNanos));
    return end();
  }

  /** An upstream tells what its prefix cache holds. */
  public void cacheEvents(CacheEvents events) {
    upstreams
        .find(events.upstream(), events.bootId())
        .ifPresent(
            each -> {
              context.prefixes().stored(each.slot(), events.stored());
              context.prefixes().removed(each.slot(), events.removed());
            });
  }

  /** An upstream is gone for good. */
  public List<PoolDecision> gone(String upstream, long nowNanos) {
    begin(nowNanos);
    upstreams.remove(upstream);
    return end();
  }

  /**
   * A request arrives.
   *
   * @param requestId names it in decisions; unique
   */
  public List<PoolDecision> submit(long requestId, AdmissionRequest request, long nowNanos) {
    begin(nowNanos);
    QueuedRequest queued = requests.create(requestId, request, nowNanos);
    Optional<RefusalReason> refusal = rules.refusal(queued, admitting);
    if (refusal.isPresent()) {
      waiting.refuse(queued, refusal.get(), upstreams, decisions);
      return end();
    }
    waiting.add(queued);
    admitWaiting();
    waiting.refuseIfWaitTooLong(queued, upstreams, decisions);
    return end();
  }

  /** The caller of a request left: it leaves the queue, or its ticket comes back unused. */
  public List<PoolDecision> cancelled(long requestId, long nowNanos) {
    Optional<Long> ticketId = outstanding.ticketOf(requestId);
    if (ticketId.isPresent()) {
      TicketOutcome unused = new TicketOutcome(TicketOutcome.Result.NOT_SENT, 0, Duration.ZERO);
      return finished(ticketId.get(), unused, nowNanos);
    }
    begin(nowNanos);
    waiting.remove(requestId);
    return end();
  }

  /** A ticket comes back; nothing happens where it isn't known (any more). */
  public List<PoolDecision> finished(long ticketId, TicketOutcome outcome, long nowNanos) {
    begin(nowNanos);
    outstanding.remove(ticketId).ifPresent(each -> settle(each, outcome));
    return end();
  }

  /**
   * The entry that sent a request is gone. What waits leaves the queue; what was admitted may still
   * run, and counts until reports show that it has ended.
   */
  public List<PoolDecision> orphaned(long requestId, long nowNanos) {
    begin(nowNanos);
    waiting.remove(requestId);
    Optional<OutstandingTicket> ticket =
        outstanding.ticketOf(requestId).flatMap(outstanding::remove);
    ticket.ifPresent(each -> each.upstream().orphaned(each.request()));
    ticket.ifPresent(each -> context.usage().remove(each.request().queued()));
    ticket.ifPresent(each -> waiting.ticketClosed(each.request().ticket().id()));
    return end();
  }

  /**
   * Begins or ends to admit; the pool admits from its creation. While it does not, every request is
   * refused with {@link RefusalReason#OWNER_MOVING}.
   */
  public List<PoolDecision> setAdmitting(boolean admits, long nowNanos) {
    begin(nowNanos);
    admitting = admits;
    if (!admits) {
      waiting.refuseAll(RefusalReason.OWNER_MOVING, upstreams, decisions);
    }
    return end();
  }

  /** Time has passed: to be called every few tens of milliseconds. */
  public List<PoolDecision> tick(long nowNanos) {
    begin(nowNanos);
    upstreams.removeSilent();
    waiting.expire(upstreams, decisions);
    return end();
  }

  /** Returns the pool's free capacity. */
  public PoolDigest digest(long nowNanos) {
    context.setNow(nowNanos);
    return PoolDigests.of(key, upstreams, waiting, context);
  }

  /** Returns what the next owner has to know. */
  PoolHandOver handOver(long viewEpoch, Function<Long, RequestKey> requestKeys, long nowNanos) {
    return HandOverBuilder.build(
        key, viewEpoch, upstreams, outstanding, context, requestKeys, nowNanos);
  }

  /**
   * Takes over what the former owner knew; may come while the pool admits already.
   *
   * @param requestIds gives each ticket's request the id that it has here
   */
  List<PoolDecision> restore(
      PoolHandOver handOver, Function<RequestKey, Long> requestIds, long nowNanos) {
    begin(nowNanos);
    HandOverRestorer restorer =
        new HandOverRestorer(upstreams, outstanding, waiting, requests, context);
    restorer.restore(handOver, requestIds);
    return end();
  }

  private void begin(long nowNanos) {
    context.setNow(nowNanos);
    decisions = new ArrayList<>();
  }

  private List<PoolDecision> end() {
    admitWaiting();
    return decisions;
  }

  private void admitWaiting() {
    if (admitting) {
      waiting.admit(upstreams, placement, this::admit);
    }
  }

  private void settle(OutstandingTicket ticket, TicketOutcome outcome) {
    ticket.upstream().finished(ticket.request(), outcome, context.nowNanos());
    context.usage().remove(ticket.request().queued());
    waiting.finished(ticket.request(), outcome);
    recordLength(ticket.request(), outcome);
  }

  private long admit(QueuedRequest queued, UpstreamState upstream, boolean alone) {
    Ticket ticket = issuer.issue(upstream.announcement(), alone, context.nowNanos());
    RunningRequest running = new RunningRequest(ticket, queued, context.nowNanos());
    upstream.admitted(running);
    context.prefixes().stored(upstream.slot(), queued.prefix());
    outstanding.add(upstream, running);
    context.usage().add(queued);
    decisions.add(new PoolDecision.Admitted(queued.id(), ticket));
    return ticket.id();
  }

  private void recordLength(RunningRequest request, TicketOutcome outcome) {
    boolean whole = outcome.result() == TicketOutcome.Result.COMPLETED;
    if (whole && outcome.outputTokens() > 0) {
      context.lengths().completed(request.queued().flow(), outcome.outputTokens());
    }
  }
}
