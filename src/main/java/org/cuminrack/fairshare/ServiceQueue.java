package org.cuminrack.fairshare;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.ToDoubleFunction;
import org.cuminrack.time.Clock;

/**
 * Decides which requests of one service get a place at this gateway, and which wait or are refused.
 * Urgent priorities come first; the policy orders the requests of a priority. Thread-safe. Lock
 * order: this queue before any lock that a {@link Placing} acquires.
 *
 * <p>With fair shares, a request leaves free room to better claims at other gateways, but only for
 * a moment: if the room stays free, they can't use it.
 */
public final class ServiceQueue {
  /** Requests that may wait; each keeps its body in memory. */
  private static final int MAX_WAITING = 200;

  /** Longest time that room is left to better claims at other gateways; two of their retries. */
  private static final long MAX_YIELD_NANOS = 200_000_000;

  /** Time since the last refusal for which the service counts as overloaded. */
  private static final long OVERLOAD_MEMORY_NANOS = 1_000_000_000;

  private static final long RETRY_INTERVAL_NANOS = 5_000_000;

  private static final long REVIEW_INTERVAL_NANOS = 100_000_000;

  /** Factor by which estimates are expected to be wrong. */
  private static final double ESTIMATE_MARGIN = 1.5;

  private final QueuePolicy policy;
  private final DemandTable table;
  private final String service;
  private final ToDoubleFunction<String> weights;
  private final Clock clock;
  private final DemandLedger ledger;
  private final WaitEstimates estimates = new WaitEstimates();
  private final ServedRatios served = new ServedRatios();
  private final PlacedSizes placedSizes = new PlacedSizes();
  private final List<QueueEntry> waiting = new ArrayList<>();
  private volatile int size;
  private long lastSequence;
  private long lastReviewNanos;
  private long lastRetryNanos;
  private OptionalLong lastRefusedNanos = OptionalLong.empty();

  /**
   * Creates a queue.
   *
   * @param weights the weight of an organisation, more than 0
   */
  public ServiceQueue(
      QueuePolicy policy,
      String service,
      DemandTable table,
      ToDoubleFunction<String> weights,
      Clock clock) {
    this.policy = policy;
    this.service = service;
    this.table = table;
    this.weights = weights;
    this.clock = clock;
    this.ledger = new DemandLedger(service, table);
    this.lastReviewNanos = clock.nanoTime();
    this.lastRetryNanos = lastReviewNanos - RETRY_INTERVAL_NANOS;
  }

  /**
   * Places a request at once unless better claims wait or there is no room; otherwise queues it, or
   * refuses it if no place is expected to come in time.
   */
  public synchronized QueueEntry enter(ShareRequest request, Placing placing) {
    long nowNanos = clock.nanoTime();
    QueueEntry entry = new QueueEntry(this, request, placing, ++lastSequence, nowNanos);
    served.recordAsked(request.claimant(), nowNanos);
    QueueView view = view(shares(), nowNanos);
    entry.share = view.shares().shareOf(request.claimant());
    boolean firstHere =
        waiting.stream().allMatch(other -> policy.order(view).compare(other, entry) > 0);
    if (firstHere && !yields(entry, view, nowNanos) && placing.tryPlace()) {
      place(entry, view.shares(), nowNanos);
      return entry;
    }
    UnitsAhead ahead = new UnitsAhead();
    waiting.stream()
        .filter(other -> policy.order(view).compare(other, entry) < 0)
        .forEach(ahead::add);
    estimates.recordEntry(entry, view.rawEstimate(entry, ahead));
    view.timePerPlace(entry).ifPresent(perPlace -> entry.perPlaceNanos = perPlace);
    if (!comesInTime(entry, nowNanos) || waiting.size() >= MAX_WAITING) {
      entry.state = QueueEntry.State.REFUSED;
      lastRefusedNanos = OptionalLong.of(nowNanos);
      return entry;
    }
    waiting.add(entry);
    size = waiting.size();
    ledger.startWaiting(request);
    return entry;
  }

  /**
   * Returns whether an arriving request may expect a place in time. While requests are refused, it
   * has to come early: requests that arrive later may precede this one.
   */
  private boolean comesInTime(QueueEntry entry, long nowNanos) {
    long usefulNanos = usefulUntilNanos(entry, nowNanos) - nowNanos;
    if (!policy.sharesFairly()) {
      return usefulNanos > 0;
    }
    double margin = isOverloaded(nowNanos) ? ESTIMATE_MARGIN : 1;
    return usefulNanos > 0 && entry.estimateNanos * margin <= usefulNanos;
  }

  /**
   * Returns the time until which a place is waited for. While requests are refused, it is only as
   * long as a place is early enough for the target: those that are on time precede late ones, so
   * that these would wait in vain.
   */
  private long usefulUntilNanos(QueueEntry entry, long nowNanos) {
    return !policy.sharesFairly() || isOverloaded(nowNanos)
        ? entry.request.onTimeUntilNanos()
        : entry.request.latestNanos();
  }

  private boolean isOverloaded(long nowNanos) {
    return lastRefusedNanos.isPresent()
        && nowNanos - lastRefusedNanos.getAsLong() < OVERLOAD_MEMORY_NANOS;
  }

  /**
   * Places the waiting requests that there is room for, in order. Costs little if none waits, or if
   * it is called again at once.
   */
  public void retry() {
    if (size > 0) {
      retry(RETRY_INTERVAL_NANOS);
    }
  }

  private synchronized void retry(long minIntervalNanos) {
    long nowNanos = clock.nanoTime();
    if (nowNanos - lastRetryNanos >= minIntervalNanos) {
      lastRetryNanos = nowNanos;
      if (nowNanos - lastReviewNanos >= REVIEW_INTERVAL_NANOS) {
        lastReviewNanos = nowNanos;
        reviewAll(nowNanos);
      }
      placeWaiting(nowNanos);
    }
  }

  public int size() {
    return size;
  }

  private void placeWaiting(long nowNanos) {
    ServiceShares shares = shares();
    PlacingPass pass = new PlacingPass();
    boolean placed = true;
    while (placed && !waiting.isEmpty()) {
      QueueView view = view(shares, nowNanos);
      waiting.sort(policy.order(view));
      placed = placeNext(pass, view, nowNanos);
    }
  }

  /** Places the first waiting request that fits; returns whether there was one. */
  private boolean placeNext(PlacingPass pass, QueueView view, long nowNanos) {
    for (QueueEntry entry : waiting) {
      if (pass.isOver(entry)) {
        return false;
      }
      if (pass.cannotFit(entry)) {
        holdRoomIfOvertaken(entry, view, nowNanos);
        continue;
      }
      if (yields(entry, view, nowNanos)) {
        return false;
      }
      if (entry.placing.tryPlace()) {
        entry.share = view.shares().shareOf(entry.request.claimant());
        remove(entry);
        place(entry, view.shares(), nowNanos);
        return true;
      }
      if (!policy.sharesFairly()) {
        return false;
      }
      holdRoomIfOvertaken(entry, view, nowNanos);
      pass.recordFailure(entry);
    }
    return false;
  }

  /** Keeps room for a large request that has waited for some time, before smaller ones take it. */
  private void holdRoomIfOvertaken(QueueEntry entry, QueueView view, long nowNanos) {
    long onTimeWaitNanos = entry.request.onTimeUntilNanos() - entry.enteredNanos;
    long waitedNanos = nowNanos - entry.enteredNanos;
    boolean isNext =
        waitedNanos >= onTimeWaitNanos / 2 || view.aheadElsewhere(entry).requests() == 0;
    if (policy.sharesFairly()
        && waitedNanos >= onTimeWaitNanos / 4
        && placedSizes.isLarge(entry.request.units())
        && isNext
        && waiting.stream().noneMatch(other -> other.placing.holdsRoom())) {
      entry.placing.tryHoldRoom();
    }
  }

  private void place(QueueEntry entry, ServiceShares shares, long nowNanos) {
    entry.state = QueueEntry.State.PLACED;
    entry.placedNanos = nowNanos;
    entry.queuedNanos = nowNanos - entry.enteredNanos;
    estimates.recordPlaced(entry);
    served.recordPlaced(entry.request.claimant(), nowNanos);
    placedSizes.record(entry.request.units());
    ledger.addHeld(entry.request.claimant(), entry.request.units());
    shares.recordHeld(entry.request.claimant(), entry.request.units());
  }

  /** Returns whether free room is left to better claims at other gateways. */
  private boolean yields(QueueEntry entry, QueueView view, long nowNanos) {
    if (!policy.sharesFairly()) {
      return false;
    }
    ServiceShares.Ahead ahead = view.aheadElsewhere(entry);
    boolean roomForAll =
        ahead.requests() == 0
            || entry.placing.freePlaces(ahead.meanUnits(), ahead.requests() + 1) > ahead.requests();
    if (roomForAll || entry.placing.freePlaces(entry.request.units(), 1) == 0) {
      entry.yieldingSinceNanos = -1;
      return false;
    }
    if (entry.yieldingSinceNanos < 0) {
      entry.yieldingSinceNanos = nowNanos;
    }
    long limitNanos =
        Math.min(MAX_YIELD_NANOS, (entry.request.onTimeUntilNanos() - entry.enteredNanos) / 4);
    return nowNanos - entry.yieldingSinceNanos < limitNanos;
  }

  private void reviewAll(long nowNanos) {
    QueueView view = view(shares(), nowNanos);
    waiting.sort(policy.order(view));
    UnitsAhead ahead = new UnitsAhead();
    for (QueueEntry entry : List.copyOf(waiting)) {
      OptionalLong raw = view.rawEstimate(entry, ahead);
      if (isHopeless(entry, raw, nowNanos)) {
        refuse(entry, nowNanos);
      } else {
        ahead.add(entry);
      }
    }
  }

  /** Refuses a waiting request if no place is expected to come in time. */
  synchronized void review(QueueEntry entry) {
    if (entry.state == QueueEntry.State.WAITING) {
      reviewAll(clock.nanoTime());
    }
  }

  private boolean isHopeless(QueueEntry entry, OptionalLong raw, long nowNanos) {
    long remainingNanos = usefulUntilNanos(entry, nowNanos) - nowNanos;
    boolean isLate = nowNanos >= entry.request.onTimeUntilNanos();
    if (!policy.sharesFairly()) {
      return isLate;
    }
    if (raw.isEmpty() || remainingNanos <= 0) {
      return isLate || remainingNanos <= 0;
    }
    return estimates.corrected(entry, raw.getAsLong()) > remainingNanos * ESTIMATE_MARGIN;
  }

  private void refuse(QueueEntry entry, long nowNanos) {
    remove(entry);
    entry.state = QueueEntry.State.REFUSED;
    lastRefusedNanos = OptionalLong.of(nowNanos);
    entry.queuedNanos = nowNanos - entry.enteredNanos;
    estimates.recordRefused(entry);
    entry.placing.releaseRoom();
    entry.placing.refused();
  }

  private void remove(QueueEntry entry) {
    waiting.remove(entry);
    size = waiting.size();
    ledger.stopWaiting(entry.request);
  }

  /**
   * Removes a waiting request, or releases what a placed one holds.
   *
   * @param served whether the request was served, so that other requests hold theirs as long
   */
  void end(QueueEntry entry, boolean served) {
    synchronized (this) {
      long nowNanos = clock.nanoTime();
      if (entry.state == QueueEntry.State.WAITING) {
        entry.queuedNanos = nowNanos - entry.enteredNanos;
        remove(entry);
        entry.placing.releaseRoom();
      } else if (entry.state == QueueEntry.State.PLACED) {
        ledger.addHeld(entry.request.claimant(), -entry.request.units());
        if (served) {
          estimates.recordRelease(entry, nowNanos - entry.placedNanos);
        }
      }
      entry.state = QueueEntry.State.ENDED;
    }
    if (size > 0) {
      retry(0);
    }
  }

  /** Returns how long a request waited, or has waited so far. Called under the lock. */
  long queuedNanos(QueueEntry entry) {
    return entry.state == QueueEntry.State.WAITING
        ? clock.nanoTime() - entry.enteredNanos
        : entry.queuedNanos;
  }

  private QueueView view(ServiceShares shares, long nowNanos) {
    return new QueueView(shares, new ShareOrder(shares, served, nowNanos), estimates);
  }

  private ServiceShares shares() {
    return new ServiceShares(table.own(service), table.others(service), weights);
  }
}
