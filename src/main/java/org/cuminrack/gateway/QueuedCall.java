package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import org.cuminrack.fairshare.Claimant;
import org.cuminrack.fairshare.Placing;
import org.cuminrack.fairshare.QueueEntry;
import org.cuminrack.fairshare.ServiceQueue;
import org.cuminrack.fairshare.ShareRequest;
import org.cuminrack.log.LogEvent;

/**
 * One call at the queue of its service: how long a wait is of use to its caller, and when the
 * caller comes back if it is refused. Confined to the call's I/O thread.
 */
final class QueuedCall {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Share of the target latency that a request may wait; the rest is for its work. */
  private static final double QUEUE_SHARE_OF_TARGET = 0.65;

  /** Share of the caller's time after which even a late answer isn't waited for. */
  private static final int LATEST_PART_OF_TIME_LIMIT = 4;

  /** Callers abandon a stream whose first event takes four times the target latency. */
  private static final int LATEST_TARGET_MULTIPLE = 3;

  /** Callers observe a time to come back of up to a third of the time that they have left. */
  private static final int LONGEST_RETURN_PART = 3;

  private final GatewayContext context;
  private final GatewayCall call;
  private final ServiceQueue queue;
  private Optional<QueueEntry> entry = Optional.empty();
  private boolean returning;

  QueuedCall(GatewayContext context, GatewayCall call) {
    this.context = context;
    this.call = call;
    this.queue = context.queue().of(call.service().name());
  }

  /** Asks for a place; the entry tells whether there is one, and ends with the call. */
  QueueEntry enter(long units, Placing placing) {
    entry.ifPresent(QueueEntry::withdraw);
    long nowNanos = context.clock().nanoTime();
    long arrivedNanos = nowNanos - call.age().toNanos();
    returning |= context.queue().returns(call.service().name()).takeReturn(key());
    QueueEntry entered =
        queue.enter(
            new ShareRequest(
                call.claimant(),
                units,
                arrivedNanos + onTimeWait().toNanos(),
                arrivedNanos + longestWait().toNanos(),
                returning),
            placing);
    entry = Optional.of(entered);
    call.runAtEnd(entered::end);
    if (entered.state() == QueueEntry.State.WAITING) {
      logger.atInfo().log("%s", describe("request-queued", entered).with("waiting", queue.size()));
      reviewAfter(onTimeWait(), entered);
      reviewAfter(longestWait(), entered);
    }
    return entered;
  }

  private void reviewAfter(Duration sinceArrival, QueueEntry entered) {
    long delayMillis = Math.max(0, sinceArrival.minus(call.age()).toMillis()) + 1;
    call.io().after(delayMillis, entered::review);
  }

  /** Returns the time after the arrival until which a place is early enough for the target. */
  Duration onTimeWait() {
    return Duration.ofMillis(
        (long) (call.route().targetLatency().toMillis() * QUEUE_SHARE_OF_TARGET));
  }

  /** Returns the time after the arrival after which a place is of no use. */
  private Duration longestWait() {
    Duration byTimeLimit = call.head().timeLimit(call.route()).dividedBy(LATEST_PART_OF_TIME_LIMIT);
    Duration byTarget = call.route().targetLatency().multipliedBy(LATEST_TARGET_MULTIPLE);
    Duration late = byTimeLimit.compareTo(byTarget) < 0 ? byTimeLimit : byTarget;
    return late.compareTo(onTimeWait()) < 0 ? onTimeWait() : late;
  }

  /** Leaves the queue, or releases the claim of a request that was placed. */
  void cancel() {
    entry.ifPresent(QueueEntry::end);
  }

  /** Returns the entry of the last request for a place. */
  Optional<QueueEntry> entry() {
    return entry;
  }

  /**
   * Records that the request is refused, and returns after what time the caller is to come back.
   *
   * @param shortest the shortest useful time, unless the caller has less left
   */
  Duration refuse(QueueEntry refused, Duration shortest) {
    String service = call.service().name();
    context.requestMetrics().recordQueued(service, call.priority(), "refused", refused.queuedFor());
    Duration untilPlace =
        refused.estimatedWait().filter(wait -> wait.compareTo(shortest) > 0).orElse(shortest);
    Duration longest = call.remaining().dividedBy(LONGEST_RETURN_PART);
    Duration retryAfter =
        longest.compareTo(shortest) < 0
            ? shortest
            : context
                .queue()
                .returns(service)
                .refuse(key(), untilPlace, refused.timePerPlace(), longest);
    logger.atInfo().log(
        "%s",
        describe("request-refused", refused)
            .with("queued_ms", refused.queuedFor().toMillis())
            .with("retry_after_ms", retryAfter.toMillis()));
    return retryAfter;
  }

  /** Records how long a placed request waited, and how long it was expected to. */
  void recordPlaced() {
    entry
        .filter(placed -> !placed.queuedFor().isZero())
        .ifPresent(
            placed -> {
              Duration waited = placed.queuedFor();
              int priority = placed.request().claimant().priority();
              context
                  .requestMetrics()
                  .recordQueued(call.service().name(), priority, "placed", waited);
              placed
                  .estimatedWait()
                  .ifPresent(
                      estimate ->
                          context
                              .requestMetrics()
                              .recordEstimateError(
                                  call.service().name(), priority, waited.minus(estimate).abs()));
            });
  }

  /** Adds what decided on the entry to a log event. */
  LogEvent addDecision(LogEvent event, QueueEntry decided) {
    Claimant claimant = decided.request().claimant();
    return event
        .with("organisation", claimant.organisation())
        .with("priority", claimant.priority())
        .with("share", Math.round(decided.share() * 1_000) / 1_000.0)
        .with("needed_units", decided.request().units())
        .with("returning", decided.request().returning())
        .with("estimate_ms", decided.estimatedWait().map(Duration::toMillis).orElse(-1L));
  }

  private LogEvent describe(String name, QueueEntry decided) {
    return addDecision(
        LogEvent.named(name)
            .with("request", call.head().attemptId())
            .with("content", call.suspicion().content())
            .with("service", call.service().name()),
        decided);
  }

  private String key() {
    return call.suspicion().content();
  }
}
