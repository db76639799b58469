package org.cuminrack.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.pace.PaceTable;
import org.cuminrack.pace.StatedLoad;
import org.cuminrack.pace.UpstreamPace;
import org.cuminrack.time.ManualClock;

/**
 * Plain requests of many gateways to a few upstreams with slots and a queue, which are slower for
 * some of the time. Each gateway knows the requests in progress as they were some time ago.
 */
final class PlayedUpstreams {
  private static final double WORK_MILLIS = 21.4;
  private static final int SLOTS = 6;
  private static final int GATEWAYS = 67;
  private static final Duration TARGET = Duration.ofMillis(126);
  private static final long STALE_MILLIS = 500;
  private static final long SHARE_INTERVAL_MILLIS = 250;
  private static final long NOISE_MILLIS = 600;
  private static final double NOISE_SHARE = 0.15;
  private static final double NOISE_FACTOR = 2.5;

  private final ManualClock clock = new ManualClock();
  private final Random random = new Random(45);
  private final List<Upstream> upstreams = new ArrayList<>();
  private final List<PaceTable> tables = new ArrayList<>();
  private final List<UpstreamPaces> paces = new ArrayList<>();
  private final PriorityQueue<Request> running =
      new PriorityQueue<>(Comparator.comparingDouble((Request request) -> request.endMillis));
  private double nowMillis;

  /** Whether paces count; otherwise all upstreams are taken for equally fast. */
  boolean countsPaces = true;

  /** What upstreams state of their pace; by default the truth, NaN for nothing. */
  OptionalDouble stated = OptionalDouble.empty();

  /** The data centre whose upstreams accept no requests. */
  String evacuated = "none";

  /** The requests of the last {@link #play}. */
  final List<Request> requests = new ArrayList<>();

  private static final class Upstream {
    private final UpstreamRecord record;
    private final double[] slotFreeMillis = new double[SLOTS];
    private final Map<Long, Integer> inProgressByMilli = new HashMap<>();
    private double speed;
    private double noise = 1;
    private int inProgress;

    private Upstream(UpstreamRecord record, double speed) {
      this.record = record;
      this.speed = speed;
    }
  }

  record Request(
      int gateway,
      Upstream upstream,
      boolean isFar,
      int before,
      double sentMillis,
      double startMillis,
      double endMillis) {
    double durationMillis() {
      return endMillis - sentMillis;
    }

    String upstreamId() {
      return upstream.record.id();
    }
  }

  /** Starts upstreams whose work takes these multiples of the usual time, one a data centre. */
  PlayedUpstreams(double... speeds) {
    for (int i = 0; i < speeds.length; i++) {
      upstreams.add(
          new Upstream(
              new UpstreamRecord(
                  "i-" + i, "shop", "", "dc-" + i, SLOTS, UpstreamPhase.READY, 1, 1, 0, 0),
              speeds[i]));
    }
    for (int i = 0; i < GATEWAYS; i++) {
      tables.add(new PaceTable(clock));
      paces.add(new UpstreamPaces(tables.get(i)));
    }
  }

  void setSpeed(int upstream, double speed) {
    upstreams.get(upstream).speed = speed;
  }

  /** Lets requests arrive at random at all gateways. */
  void play(Duration time, double requestsPerSecond) {
    requests.clear();
    for (long milli = 0; milli < time.toMillis(); milli++) {
      nowMillis++;
      clock.advance(Duration.ofMillis(1));
      while (!running.isEmpty() && running.peek().endMillis <= nowMillis) {
        complete(running.poll());
      }
      if (nowMillis % NOISE_MILLIS == 0) {
        upstreams.forEach(
            each -> each.noise = random.nextDouble() < NOISE_SHARE ? NOISE_FACTOR : 1);
      }
      if (nowMillis % SHARE_INTERVAL_MILLIS == 0) {
        sharePaces();
      }
      upstreams.forEach(each -> each.inProgressByMilli.put((long) nowMillis, each.inProgress));
      if (random.nextDouble() < requestsPerSecond / 1_000) {
        send(random.nextInt(GATEWAYS));
      }
    }
  }

  private void send(int gateway) {
    List<Candidate> candidates =
        upstreams.stream()
            .filter(each -> !each.record.dataCentre().equals(evacuated))
            .map(each -> candidate(each, gateway))
            .toList();
    PlainWork work =
        new PlainWork(
            TARGET,
            countsPaces
                ? paces.get(gateway).usualPlainMillis("shop", "r")
                : OptionalDouble.empty());
    Optional<Candidate> chosen = Placement.forPlainRequest(candidates, work);
    if (chosen.isPresent()) {
      run(gateway, chosen.get());
    }
  }

  private Candidate candidate(Upstream upstream, int gateway) {
    int known = upstream.inProgressByMilli.getOrDefault((long) nowMillis - STALE_MILLIS, 0);
    return new Candidate(
        upstream.record,
        new UpstreamLoad(known, 0, 0),
        false,
        0,
        random.nextDouble(),
        paces.get(gateway).pace(upstream.record),
        !upstream.record.dataCentre().equals("dc-" + gateway % upstreams.size()));
  }

  private void run(int gateway, Candidate chosen) {
    Upstream upstream =
        upstreams.stream().filter(each -> each.record.equals(chosen.upstream())).findFirst().get();
    int slot = 0;
    for (int i = 1; i < SLOTS; i++) {
      slot = upstream.slotFreeMillis[i] < upstream.slotFreeMillis[slot] ? i : slot;
    }
    double startMillis = Math.max(nowMillis, upstream.slotFreeMillis[slot]);
    double endMillis = startMillis + WORK_MILLIS * upstream.speed * upstream.noise;
    upstream.slotFreeMillis[slot] = endMillis;
    upstream.inProgress++;
    int before = chosen.load().requests();
    Request request =
        new Request(gateway, upstream, chosen.isFar(), before, nowMillis, startMillis, endMillis);
    running.add(request);
    requests.add(request);
  }

  private void complete(Request request) {
    Upstream upstream = request.upstream;
    upstream.inProgress--;
    UpstreamPaces gateway = paces.get(request.gateway);
    double slowdown = stated.orElse(upstream.speed * upstream.noise);
    OptionalDouble figure =
        Double.isNaN(slowdown) ? OptionalDouble.empty() : OptionalDouble.of(slowdown);
    StatedLoad load = new StatedLoad(upstream.inProgress, 0, SLOTS, figure);
    gateway.recordAnswer(
        upstream.record,
        new ResponseHead(
            true,
            false,
            false,
            Either.right(OptionalDouble.empty()),
            false,
            Either.right(Optional.empty()),
            Either.right(Optional.of(load))));
    gateway.recordPlain(
        upstream.record,
        "r",
        request.before,
        Duration.ofNanos((long) (request.durationMillis() * 1e6)));
  }

  /** Tells all gateways the newest observation of each upstream. */
  private void sharePaces() {
    Map<String, UpstreamPace> newest = new HashMap<>();
    tables.stream()
        .flatMap(table -> table.ownPaces().stream())
        .forEach(
            pace ->
                newest.merge(
                    pace.upstreamId(),
                    pace,
                    (one, other) -> one.age().compareTo(other.age()) <= 0 ? one : other));
    tables.forEach(table -> table.mergeRemote(newest.values()));
  }

  double meanMillis() {
    return requests.stream().mapToDouble(Request::durationMillis).average().orElse(0);
  }

  /** Returns the share of requests that were answered later than the target. */
  double lateShare() {
    return share(request -> request.durationMillis() > TARGET.toMillis());
  }

  double share(Predicate<Request> condition) {
    return (double) requests.stream().filter(condition).count() / requests.size();
  }
}
