package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.log.LogEvent;
import org.cuminrack.routing.EngineSpec;

/**
 * Admits one generation: reserves engine memory for it and, on a second engine, for its backup.
 * Under overload it waits in the queue of its service and is refused as soon as no memory is
 * expected to come free in time. Confined to the call's I/O thread, except the attempts to reserve,
 * which run on any thread.
 */
final class GenerationAdmission {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Engines free memory within seconds; an earlier retry would be refused again. */
  private static final Duration RETRY_AFTER_WHEN_FULL = Duration.ofMillis(1500);

  /** Another upstream usually announces itself within about a second. */
  private static final Duration RETRY_AFTER_WHEN_NO_UPSTREAM = Duration.ofMillis(200);

  private final GatewayContext context;
  private final GatewayCall call;
  private final EngineSpec engine;
  private final MemoryNeed need;
  private final BiConsumer<Reservation, Optional<Reservation>> onReserved;
  private final Set<String> excludedIds = new HashSet<>();
  private final QueuedCall queued;

  /**
   * Creates an admission.
   *
   * @param onReserved receives the reservation and that of the backup, unless the call has ended
   */
  GenerationAdmission(
      GatewayContext context,
      GatewayCall call,
      EngineSpec engine,
      MemoryNeed need,
      BiConsumer<Reservation, Optional<Reservation>> onReserved) {
    this.context = context;
    this.call = call;
    this.engine = engine;
    this.need = need;
    this.onReserved = onReserved;
    this.queued = new QueuedCall(context, call);
  }

  /** Excludes an engine from later reservations. */
  void exclude(String upstreamId) {
    excludedIds.add(upstreamId);
  }

  /** Begins the admission once the load on the service's engines is known. */
  void begin() {
    context
        .freshness()
        .refresh(call.service().name(), () -> call.io().execute(this::beginUnlessEnded));
  }

  private void beginUnlessEnded() {
    if (!call.hasEnded()) {
      reserveOrQueue();
    }
  }

  /**
   * Reserves memory at once, or queues the generation; fails the call if the service has no
   * available upstream or no memory is expected to come free in time.
   */
  private void reserveOrQueue() {
    boolean mayLackAnnouncements = context.view().mayLackAnnouncements(context.clock().nanoTime());
    if (!mayLackAnnouncements && !context.selector().hasAvailableUpstream(call.service().name())) {
      call.fail(GatewayFailure.NO_UPSTREAM, Optional.of(RETRY_AFTER_WHEN_NO_UPSTREAM), "");
      return;
    }
    GenerationPlacing placing =
        new GenerationPlacing(
            context,
            call.service().name(),
            engine,
            need,
            call.route(),
            excludedIds,
            reserved -> call.io().execute(() -> handleReserved(reserved)),
            () -> call.io().execute(this::refuse));
    switch (queued.enter(need.expectedTokens(), placing).state()) {
      case REFUSED -> refuseAtOnce();
      case WAITING -> awaitEndOfPause();
      case PLACED, ENDED -> {
        // The reservation, or the end of the call, is handled by its own task.
      }
    }
  }

  private void refuseAtOnce() {
    Optional<Duration> limited = context.selector().retryAfter(call.service().name());
    if (limited.isPresent()) {
      call.fail(GatewayFailure.UPSTREAMS_LIMITED, limited, "");
    } else {
      refuse();
    }
  }

  /** Fails the call if all engines pause for too long; else retries the queue after the pause. */
  private void awaitEndOfPause() {
    Optional<Duration> limited = context.selector().retryAfter(call.service().name());
    if (limited.isEmpty()) {
      return;
    }
    if (limited.get().compareTo(queued.onTimeWait().minus(call.age())) > 0) {
      cancel();
      call.fail(GatewayFailure.UPSTREAMS_LIMITED, limited, "");
      return;
    }
    // The end of a pause causes no event that would retry the queue; toMillis rounds down.
    call.io().after(limited.get().toMillis() + 1, context.queue()::retry);
  }

  /** Removes the generation from the queue if it is waiting there, and ends its claim if not. */
  void cancel() {
    queued.cancel();
  }

  private void handleReserved(Reservation reservation) {
    if (call.hasEnded()) {
      reservation.release();
      return;
    }
    if (!call.endsBeforeStop()) {
      reservation.release();
      context.queue().retry();
      call.fail(GatewayFailure.STOPPING, Optional.of(StopAdmission.RETRY_AFTER), "queued");
      return;
    }
    if (!call.isKeyInForce()) {
      reservation.release();
      context.queue().retry();
      call.fail(GatewayFailure.KEY_UNKNOWN, Optional.empty(), "withdrawn while queued");
      return;
    }
    Optional<Reservation> backup = reserveBackup(reservation.upstream());
    queued.recordPlaced();
    logPlacement(reservation, backup);
    onReserved.accept(reservation, backup);
  }

  /**
   * Reserves memory for the generation's backup on another engine, if the service keeps backups and
   * the generation is long enough.
   */
  Optional<Reservation> reserveBackup(UpstreamRecord upstream) {
    if (!engine.keepsBackups() || !need.isLongEnoughForBackup()) {
      return Optional.empty();
    }
    return context.selector().reserveBackup(call.service().name(), engine, need, upstream.id());
  }

  private void logPlacement(Reservation reservation, Optional<Reservation> backup) {
    UpstreamLoad load = reservation.loadBefore();
    LogEvent event =
        LogEvent.named("request-placed")
            .with("request", call.head().attemptId())
            .with("upstream", reservation.upstream().id())
            .with("announced_ms", reservation.upstream().age(context.clock().nanoTime()).toMillis())
            .with("running", load.requests())
            .with("reserved_tokens", load.reservedTokens())
            .with("unread_tokens", load.pendingPrefillTokens())
            .with("needed_tokens", need.expectedTokens())
            .with("copy", backup.map(reserved -> reserved.upstream().id()).orElse("none"))
            .with("queued_ms", call.age().toMillis());
    reservation.facts().ifPresent(facts -> facts.addTo(event));
    queued.entry().ifPresent(entry -> queued.addDecision(event, entry));
    logger.atInfo().log("%s", event);
  }

  private void refuse() {
    if (!call.hasEnded()) {
      Duration retryAfter =
          queued
              .entry()
              .map(entry -> queued.refuse(entry, RETRY_AFTER_WHEN_FULL))
              .orElse(RETRY_AFTER_WHEN_FULL);
      call.fail(GatewayFailure.OVERLOADED, Optional.of(retryAfter), "no engine memory");
    }
  }
}
