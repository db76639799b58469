package org.cuminrack.fairshare;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import org.cuminrack.time.ManualClock;

/** Engines whose memory several gateways share; each gateway hears of the others every 50 ms. */
final class SharedEngines {
  static final Duration STEP = Duration.ofMillis(10);
  private static final int NEWS_STEPS = 5;
  private static final int RETRY_STEPS = 10;

  final ManualClock clock = new ManualClock();
  final Random random = new Random(1);
  final List<ServiceQueue> gateways = new ArrayList<>();
  final List<Request> requests = new ArrayList<>();
  boolean newsArrives = true;
  private final List<DemandTable> tables = new ArrayList<>();
  private final List<Long> freeUnits;
  private int steps;

  SharedEngines(
      int gatewayCount, int engines, long unitsPerEngine, ToDoubleFunction<String> weights) {
    freeUnits = new ArrayList<>(Collections.nCopies(engines, unitsPerEngine));
    for (int i = 0; i < gatewayCount; i++) {
      DemandTable table = new DemandTable(clock);
      tables.add(table);
      gateways.add(new ServiceQueue(QueuePolicy.FAIR_SHARES, "engines", table, weights, clock));
    }
  }

  /** Sends a request to a gateway. */
  Request send(int gateway, Claimant claimant, long units, Duration work, Duration target) {
    return send(gateway, claimant, units, work, target, false);
  }

  Request send(
      int gateway, Claimant claimant, long units, Duration work, Duration target, boolean back) {
    Request request = new Request(claimant, units, work);
    requests.add(request);
    long now = clock.nanoTime();
    long onTimeUntil = now + target.toNanos() * 65 / 100;
    ShareRequest asked =
        new ShareRequest(claimant, units, onTimeUntil, now + target.toNanos() * 2, back);
    request.entry = gateways.get(gateway).enter(asked, request);
    return request;
  }

  /** Takes memory away that is free, or comes free. */
  void removeEngines(int count) {
    for (int i = 0; i < count; i++) {
      freeUnits.set(i, freeUnits.get(i) - 1_000_000);
    }
  }

  void step() {
    clock.advance(STEP);
    steps++;
    for (Request request : requests) {
      request.endIfDone();
    }
    if (newsArrives && steps % NEWS_STEPS == 0) {
      tellAll();
    }
    if (steps % RETRY_STEPS == 0) {
      gateways.forEach(ServiceQueue::retry);
    }
  }

  private void tellAll() {
    for (DemandTable hearer : tables) {
      Map<Claimant, OrganisationDemand> sums = new HashMap<>();
      for (DemandTable teller : tables) {
        if (teller != hearer) {
          for (OrganisationDemand demand : teller.own("engines")) {
            Claimant claimant = new Claimant(demand.organisation(), demand.priority());
            sums.merge(claimant, demand, SharedEngines::sum);
          }
        }
      }
      hearer.replaceOthers("engines", List.copyOf(sums.values()));
    }
  }

  private static OrganisationDemand sum(OrganisationDemand one, OrganisationDemand other) {
    return new OrganisationDemand(
        one.service(),
        one.organisation(),
        one.priority(),
        one.heldUnits() + other.heldUnits(),
        one.waitingUnits() + other.waitingUnits(),
        one.waitingRequests() + other.waitingRequests());
  }

  /** One request, and what became of it. */
  final class Request implements Placing {
    final Claimant claimant;
    final long units;
    final long sentNanos = clock.nanoTime();
    private final Duration work;
    QueueEntry entry;
    boolean refused;
    private int engine = -1;
    private int heldEngine = -1;
    private long placedNanos;
    private boolean ended;

    private Request(Claimant claimant, long units, Duration work) {
      this.claimant = claimant;
      this.units = units;
      this.work = work;
    }

    boolean isPlaced() {
      return engine >= 0;
    }

    long waitMillis() {
      return Duration.ofNanos(placedNanos - sentNanos).toMillis();
    }

    private void endIfDone() {
      if (isPlaced() && !ended && clock.nanoTime() - placedNanos >= work.toNanos()) {
        ended = true;
        freeUnits.set(engine, freeUnits.get(engine) + units);
        entry.end();
      }
    }

    @Override
    public boolean tryPlace() {
      boolean heldIsFree = heldEngine >= 0 && freeUnits.get(heldEngine) >= 0;
      int emptiest = heldIsFree ? heldEngine : emptiest();
      if (heldIsFree) {
        releaseRoom();
      }
      if (freeUnits.get(emptiest) < units) {
        return false;
      }
      releaseRoom();
      freeUnits.set(emptiest, freeUnits.get(emptiest) - units);
      engine = emptiest;
      placedNanos = clock.nanoTime();
      return true;
    }

    private int emptiest() {
      int best = 0;
      for (int i = 1; i < freeUnits.size(); i++) {
        best = freeUnits.get(i) > freeUnits.get(best) ? i : best;
      }
      return best;
    }

    @Override
    public int freePlaces(long size, int limit) {
      return (int)
          Math.min(limit, freeUnits.stream().mapToLong(free -> Math.max(0, free) / size).sum());
    }

    @Override
    public long unitsInUse() {
      return requests.stream()
          .filter(request -> request.isPlaced() && !request.ended)
          .mapToLong(request -> request.units)
          .sum();
    }

    @Override
    public void tryHoldRoom() {
      if (heldEngine < 0 && freeUnits.stream().noneMatch(free -> free < 0)) {
        heldEngine = emptiest();
        freeUnits.set(heldEngine, freeUnits.get(heldEngine) - units);
      }
    }

    @Override
    public boolean holdsRoom() {
      return heldEngine >= 0;
    }

    @Override
    public void releaseRoom() {
      if (heldEngine >= 0) {
        freeUnits.set(heldEngine, freeUnits.get(heldEngine) + units);
        heldEngine = -1;
      }
    }

    @Override
    public void refused() {
      refused = true;
    }
  }
}
