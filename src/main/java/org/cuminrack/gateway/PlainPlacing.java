package org.cuminrack.gateway;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.cuminrack.fairshare.Placing;

/** Reserves a slot for one plain request. Guarded by the lock of its service's queue. */
final class PlainPlacing implements Placing {
  private final UpstreamSelector selector;
  private final String service;
  private final Set<String> triedIds;
  private final Consumer<Reservation> onReserved;
  private final Runnable onRefused;

  /**
   * Creates a placing.
   *
   * @param triedIds upstreams that are used only if no other is free
   * @param onReserved receives the reservation, on any thread
   * @param onRefused is told, on any thread, that no place comes in time
   */
  PlainPlacing(
      UpstreamSelector selector,
      String service,
      Set<String> triedIds,
      Consumer<Reservation> onReserved,
      Runnable onRefused) {
    this.selector = selector;
    this.service = service;
    this.triedIds = Set.copyOf(triedIds);
    this.onReserved = onReserved;
    this.onRefused = onRefused;
  }

  @Override
  public boolean tryPlace() {
    Optional<Reservation> reservation = selector.reservePlain(service, triedIds);
    if (reservation.isEmpty() && !triedIds.isEmpty()) {
      reservation = selector.reservePlain(service, Set.of());
    }
    reservation.ifPresent(onReserved);
    return reservation.isPresent();
  }

  @Override
  public int freePlaces(long units, int limit) {
    return selector.freePlainPlaces(service, limit);
  }

  @Override
  public long unitsInUse() {
    return selector.totalLoad(service).requests();
  }

  @Override
  public void tryHoldRoom() {
    // All plain requests need the same, so that none is overtaken for its size.
  }

  @Override
  public boolean holdsRoom() {
    return false;
  }

  @Override
  public void releaseRoom() {
    // Nothing is ever kept.
  }

  @Override
  public void refused() {
    onRefused.run();
  }
}
