package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.cuminrack.fairshare.Placing;
import org.cuminrack.routing.EngineSpec;
import org.cuminrack.routing.HttpRoute;

/** Reserves engine memory for one generation. Guarded by the lock of its service's queue. */
final class GenerationPlacing implements Placing {
  /** Memory that was kept for this long without coming free is given up. */
  private static final Duration MAX_HOLD = Duration.ofSeconds(2);

  private final GatewayContext context;
  private final String service;
  private final EngineSpec engine;
  private final MemoryNeed need;
  private final HttpRoute route;
  private final Set<String> excludedIds;
  private final Consumer<Reservation> onReserved;
  private final Runnable onRefused;
  private Optional<Reservation> held = Optional.empty();
  private long heldSinceNanos;

  /**
   * Creates a placing.
   *
   * @param excludedIds engines that are not used
   * @param onReserved receives the reservation, on any thread
   * @param onRefused is told, on any thread, that no place comes in time
   */
  GenerationPlacing(
      GatewayContext context,
      String service,
      EngineSpec engine,
      MemoryNeed need,
      HttpRoute route,
      Set<String> excludedIds,
      Consumer<Reservation> onReserved,
      Runnable onRefused) {
    this.context = context;
    this.service = service;
    this.engine = engine;
    this.need = need;
    this.route = route;
    this.excludedIds = Set.copyOf(excludedIds);
    this.onReserved = onReserved;
    this.onRefused = onRefused;
  }

  @Override
  public boolean tryPlace() {
    Optional<Reservation> reservation =
        held.flatMap(kept -> context.selector().useHeldRoom(kept, engine, need, route));
    if (reservation.isEmpty()) {
      releaseRoomIfUseless();
      reservation = context.selector().reserveGeneration(service, engine, need, route, excludedIds);
    }
    reservation.ifPresent(
        reserved -> {
          releaseRoom();
          onReserved.accept(reserved);
        });
    return reservation.isPresent();
  }

  private void releaseRoomIfUseless() {
    long heldNanos = context.clock().nanoTime() - heldSinceNanos;
    boolean useless =
        held.isPresent()
            && (heldNanos > MAX_HOLD.toNanos()
                || !context.selector().maySendTo(held.get().upstream()));
    if (useless) {
      releaseRoom();
    }
  }

  @Override
  public int freePlaces(long units, int limit) {
    return context.selector().freeGenerationPlaces(service, engine, route, units, limit);
  }

  @Override
  public long unitsInUse() {
    return context.selector().totalLoad(service).reservedTokens();
  }

  @Override
  public void tryHoldRoom() {
    if (held.isEmpty()) {
      held = context.selector().holdRoom(service, engine, need, excludedIds);
      heldSinceNanos = context.clock().nanoTime();
    }
  }

  @Override
  public boolean holdsRoom() {
    return held.isPresent();
  }

  @Override
  public void releaseRoom() {
    held.ifPresent(Reservation::release);
    held = Optional.empty();
  }

  @Override
  public void refused() {
    onRefused.run();
  }
}
