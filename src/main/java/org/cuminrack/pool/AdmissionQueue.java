package org.cuminrack.pool;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.TicketOutcome;

/**
 * The queued requests of a pool; decides the order in which they are admitted, and when they are
 * refused.
 */
final class AdmissionQueue {
  /**
   * A request is refused as poison, the presumed cause of the crashes, once this many upstreams
   * have crashed while they ran it.
   */
  static final int POISON_CRASHES = 2;

  private static final double MAX_WAIT_TO_TIMEOUT_RATIO = 0.9;

  /** Maximum number of flows that a request may bypass in one pass of {@link #admit}. */
  private static final int MAX_BYPASSED_FLOWS = 8;

  /**
   * A head that has waited longer than this is bypassed only by requests that need to leave less
   * headroom than it does.
   */
  private static final long RESTRICT_BYPASS_AFTER_NANOS = 200_000_000L;

  /**
   * A request counts as nearly admitted if its predicted remaining wait is below its maximum wait
   * divided by this number.
   */
  private static final int NEARLY_ADMITTED_MAX_WAIT_DIVISOR = 4;

  private static final int MAX_QUEUED_REQUESTS = 4096;

  private final PoolContext context;
  private final FairQueue queue;
  private final SuspectQueue suspects = new SuspectQueue();
  private final WaitEstimator waitEstimator = new WaitEstimator();
  private final Map<Long, QueuedRequest> byId = new HashMap<>();

  /** Admits requests that were placed on an upstream. */
  interface Admitter {
    /**
     * Admits a request and returns the ticket id.
     *
     * @param exclusive whether the request is a suspect, which must run alone on the upstream
     */
    long admit(QueuedRequest request, UpstreamState upstream, boolean exclusive);
  }

  AdmissionQueue(PoolContext context) {
    this.context = context;
    this.queue = new FairQueue(context.uses(Mechanism.FAIR_QUEUEING));
  }

  int size() {
    return byId.size();
  }

  void add(QueuedRequest request) {
    byId.put(request.id(), request);
    if (isSuspect(request)) {
      suspects.add(request);
    } else {
      queue.add(request, context.rules().weightOf(request.request().organisation()));
    }
  }

  void remove(long requestId) {
    QueuedRequest request = byId.remove(requestId);
    if (request != null) {
      queue.remove(request);
      suspects.removeIf(each -> each.id() == requestId);
    }
  }

  /** Handles a returned ticket; records how long its request occupied a place, if it was sent. */
  void requestFinished(RunningRequest request, TicketOutcome outcome) {
    ticketRemoved(request.ticket().id());
    if (outcome.result() != TicketOutcome.Result.NOT_SENT) {
      waitEstimator.finished(request.ageNanos(context.nowNanos()));
    }
  }

  /** Records that a ticket is no longer outstanding: it was returned, or its entry is lost. */
  void ticketRemoved(long ticketId) {
    suspects.ticketRemoved(ticketId);
  }

  /** Restores a suspect that a former owner admitted and that runs alone on this upstream. */
  void restoreSuspect(UpstreamState upstream, long ticketId) {
    suspects.restore(upstream, ticketId);
  }

  /** Moves new suspects to the suspect queue, and refuses poison requests. */
  void applyRules(List<PoolDecision> decisions) {
    List<QueuedRequest> newSuspects = queue.removeIf(this::isSuspect);
    newSuspects.forEach(suspects::add);
    for (QueuedRequest each : suspects.removeIf(each -> crashesOf(each) >= POISON_CRASHES)) {
      byId.remove(each.id());
      decisions.add(new PoolDecision.Refused(each.id(), RefusalReason.POISON, Duration.ZERO));
    }
  }

  /**
   * Admits the next suspect if it can be placed, then other requests in queue order; flows whose
   * head cannot be placed are bypassed, within limits.
   */
  void admit(UpstreamTable upstreams, PlacementPolicy placement, Admitter admitter) {
    admitSuspect(upstreams, admitter);
    Set<FlowKey> bypassed = new HashSet<>();
    int maxHeadroomUnits = Integer.MAX_VALUE;
    while (!queue.isEmpty() && bypassed.size() <= MAX_BYPASSED_FLOWS) {
      Optional<FlowHead> first = queue.first(bypassed);
      if (first.isEmpty()) {
        return;
      }
      QueuedRequest head = first.get().request();
      int headroomUnits = context.headroomUnits(head);
      Optional<UpstreamState> upstream =
          headroomUnits <= maxHeadroomUnits ? place(head, upstreams, placement) : Optional.empty();
      if (upstream.isPresent()) {
        queue.serve(first.get());
        byId.remove(head.id());
        admitter.admit(head, upstream.get(), false);
      } else {
        bypassed.add(first.get().flow());
        maxHeadroomUnits =
            restrictsBypass(head)
                ? Math.min(maxHeadroomUnits, headroomUnits - 1)
                : maxHeadroomUnits;
      }
    }
  }

  /** Refuses a queued request if the queue is full or its predicted wait is too long. */
  void refuseIfOverloaded(
      QueuedRequest request, UpstreamTable upstreams, List<PoolDecision> decisions) {
    if (!byId.containsKey(request.id())) {
      return;
    }
    boolean queueFull = size() > MAX_QUEUED_REQUESTS;
    boolean waitTooLong =
        context.uses(Mechanism.EARLY_REFUSAL)
            && predictedWaitNanos(request, upstreams) > maxWaitNanos(request);
    if (queueFull || waitTooLong) {
      refuse(request, RefusalReason.OVERLOADED, upstreams, decisions);
    }
  }

  /**
   * Refuses requests that have waited, or will wait, too long, and all requests if no upstream is
   * available. Also discards the state of organisations without requests.
   */
  void refuseOverdue(UpstreamTable upstreams, List<PoolDecision> decisions) {
    boolean noUpstreamAvailable = !upstreams.anyAvailable();
    for (QueuedRequest each : List.copyOf(byId.values())) {
      long waitedNanos = context.nowNanos() - each.arrivedNanos();
      if (noUpstreamAvailable) {
        refuse(each, RefusalReason.NO_UPSTREAM, upstreams, decisions);
      } else if (waitedNanos >= each.request().timeout().toNanos()) {
        refuse(each, RefusalReason.DEADLINE, upstreams, decisions);
      } else if (context.uses(Mechanism.EARLY_REFUSAL)
          && exceedsMaxWait(each, waitedNanos, upstreams)) {
        refuse(each, RefusalReason.OVERLOADED, upstreams, decisions);
      }
    }
    queue.removeIdleOrganisations();
  }

  void refuseAll(RefusalReason reason, UpstreamTable upstreams, List<PoolDecision> decisions) {
    List.copyOf(byId.values()).forEach(each -> refuse(each, reason, upstreams, decisions));
  }

  void refuse(
      QueuedRequest request,
      RefusalReason reason,
      UpstreamTable upstreams,
      List<PoolDecision> decisions) {
    Duration retryAfter = retryAfter(request, reason, upstreams);
    remove(request.id());
    decisions.add(new PoolDecision.Refused(request.id(), reason, retryAfter));
  }

  /**
   * Returns the predicted wait, in nanoseconds, of a request that arrives now and is served last; 0
   * if no request is queued. Queued suspects are not counted.
   */
  long predictedWaitNanosOfNewRequest(UpstreamTable upstreams) {
    return byId.isEmpty()
        ? 0
        : waitEstimator.waitNanos(queue.size() + 1, upstreams.requestsInFlight());
  }

  /**
   * Returns whether the time waited plus the predicted remaining wait exceeds the maximum. For a
   * nearly admitted request, only the time waited counts.
   */
  private boolean exceedsMaxWait(QueuedRequest request, long waitedNanos, UpstreamTable upstreams) {
    long maxNanos = maxWaitNanos(request);
    long remainingNanos = predictedWaitNanos(request, upstreams);
    boolean nearlyAdmitted = remainingNanos < maxNanos / NEARLY_ADMITTED_MAX_WAIT_DIVISOR;
    return nearlyAdmitted ? waitedNanos > maxNanos : waitedNanos + remainingNanos > maxNanos;
  }

  /**
   * Returns whether a head has waited so long that only requests that need to leave less headroom
   * may bypass it.
   */
  private boolean restrictsBypass(QueuedRequest head) {
    return context.nowNanos() - head.arrivedNanos() > RESTRICT_BYPASS_AFTER_NANOS;
  }

  private void admitSuspect(UpstreamTable upstreams, Admitter admitter) {
    Optional<QueuedRequest> head = suspects.head();
    if (head.isEmpty()) {
      return;
    }
    List<UpstreamState> candidates = upstreams.candidates(head.get());
    Optional<UpstreamState> upstream = suspects.place(candidates);
    if (upstream.isPresent()) {
      byId.remove(head.get().id());
      suspects.admitted(admitter.admit(head.get(), upstream.get(), true));
    }
  }

  private Optional<UpstreamState> place(
      QueuedRequest request, UpstreamTable upstreams, PlacementPolicy placement) {
    List<UpstreamState> candidates = upstreams.candidates(request);
    candidates.removeIf(UpstreamState::isReserved);
    return placement.place(request, candidates, context);
  }

  private boolean isSuspect(QueuedRequest request) {
    return crashesOf(request) > 0;
  }

  private int crashesOf(QueuedRequest request) {
    return context.rules().crashesOf(request.request().fingerprint().hex());
  }

  private long predictedWaitNanos(QueuedRequest request, UpstreamTable upstreams) {
    // A suspect is taken to be the last one in its queue.
    int position = isSuspect(request) ? suspects.size() : queue.countAhead(request) + 1;
    return waitEstimator.waitNanos(position, upstreams.requestsInFlight());
  }

  private static long maxWaitNanos(QueuedRequest request) {
    long maxForTimeoutNanos =
        (long) (request.request().timeout().toNanos() * MAX_WAIT_TO_TIMEOUT_RATIO);
    return Math.min(maxForTimeoutNanos, PoolLimits.MAX_QUEUE_WAIT.toNanos());
  }

  private Duration retryAfter(
      QueuedRequest request, RefusalReason reason, UpstreamTable upstreams) {
    if (reason == RefusalReason.POISON) {
      return Duration.ZERO;
    }
    // No wait is predicted for a request that was refused before it was queued.
    boolean queued = byId.containsKey(request.id());
    long waitNanos =
        queued ? predictedWaitNanos(request, upstreams) : PoolLimits.REPORT_INTERVAL.toNanos();
    long boundedNanos =
        Math.max(
            PoolLimits.MIN_RETRY_AFTER.toNanos(),
            Math.min(PoolLimits.MAX_RETRY_AFTER.toNanos(), waitNanos));
    return Duration.ofNanos(boundedNanos);
  }
}
