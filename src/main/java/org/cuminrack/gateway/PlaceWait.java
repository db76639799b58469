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
 * Gets engine memory for one generation, and a second engine for its copy. Answers heavy days: who
 * waits is placed by priority, and refused once it could not be on time any more. Lives on the
 * call's I/O thread, but for the attempts, which run on any.
 */
final class PlaceWait {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Part of the target that a generation may wait for memory; the rest is for its prompt. */
  private static final double QUEUE_SHARE_OF_TARGET = 0.65;

  /** Engines free memory within seconds; sooner would only be refused again. */
  private static final Duration RETRY_WHEN_FULL = Duration.ofMillis(1500);

  /** Another upstream announces itself within about a second. */
  private static final Duration RETRY_SOON = Duration.ofMillis(200);

  private final GatewayContext context;
  private final GatewayCall call;
  private final EngineSpec engine;
  private final MemoryNeed need;
  private final BiConsumer<Reservation, Optional<Reservation>> placed;
  private final Set<String> excludedIds = new HashSet<>();
  private Optional<Runnable> leaveQueue = Optional.empty();

  /**
   * Makes a wait.
   *
   * @param placed gets the place and that of the copy, unless the call has ended
   */
  PlaceWait(
      GatewayContext context,
      GatewayCall call,
      EngineSpec engine,
      MemoryNeed need,
      BiConsumer<Reservation, Optional<Reservation>> placed) {
    this.context = context;
    this.call = call;
    this.engine = engine;
    this.need = need;
    this.placed = placed;
  }

  /** Leaves an engine out from now on. */
  void exclude(String upstreamId) {
    excludedIds.add(upstreamId);
  }

  /** Begins to wait; refuses the call where it waits in vain. */
  void begin() {
    boolean mayComeSoon = context.view().isYoung(context.clock().nanoTime());
    if (!mayComeSoon && !context.selector().hasUpstreams(call.service().name())) {
      call.fail(GatewayFailure.NO_UPSTREAM, Optional.of(RETRY_SOON), "");
      return;
    }
    leaveQueue = context.queue().enter(call.priority(), this::tryReserve);
    if (leaveQueue.isPresent()) {
      long waitMillis =
          (long) (call.route().targetLatency().toMillis() * QUEUE_SHARE_OF_TARGET)
              - call.age().toMillis();
      call.io().after(Math.max(0, waitMillis), this::waitIsOver);
    }
  }

  /** Stops waiting. */
  void cancel() {
    leaveQueue.ifPresent(Runnable::run);
    leaveQueue = Optional.empty();
  }

  /** Called under the queue's lock, on any thread. */
  private boolean tryReserve() {
    Optional<Reservation> place =
        context.selector().generation(call.service().name(), engine, need, excludedIds);
    place.ifPresent(each -> call.io().execute(() -> reserved(each)));
    return place.isPresent();
  }

  private void reserved(Reservation place) {
    leaveQueue = Optional.empty();
    if (call.isOver()) {
      place.release();
      return;
    }
    Optional<Reservation> copy = copyBeside(place.upstream());
    log(place, copy);
    placed.accept(place, copy);
  }

  /** Reserves memory for the copy of the generation on another engine, where it is worth it. */
  Optional<Reservation> copyBeside(UpstreamRecord upstream) {
    if (!engine.keepsBackups() || !need.isWorthBackup()) {
      return Optional.empty();
    }
    return context.selector().backup(call.service().name(), engine, need, upstream.id());
  }

  private void log(Reservation place, Optional<Reservation> copy) {
    UpstreamLoad load = place.loadBefore();
    logger.atInfo().log(
        "%s",
        LogEvent.named("request-placed")
            .with("request", call.head().attemptId())
            .with("upstream", place.upstream().id())
            .with("announced_ms", place.upstream().age(context.clock().nanoTime()).toMillis())
            .with("running", load.requests())
            .with("reserved_tokens", load.reservedTokens())
            .with("unread_tokens", load.unreadPromptTokens())
            .with("needed_tokens", need.expectedTokens())
            .with("copy", copy.map(each -> each.upstream().id()).orElse("none"))
            .with("queued_ms", call.age().toMillis()));
  }

  private void waitIsOver() {
    if (leaveQueue.isPresent() && !call.isOver()) {
      cancel();
      call.fail(GatewayFailure.OVERLOADED, Optional.of(RETRY_WHEN_FULL), "no engine memory");
    }
  }
}
