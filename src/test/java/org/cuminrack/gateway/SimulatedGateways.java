package org.cuminrack.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.generated.board.BoardAnswer;
import org.cuminrack.generated.board.BoardCall;
import org.cuminrack.sharing.Board;
import org.cuminrack.sharing.BoardCodec;
import org.cuminrack.time.ManualClock;

/**
 * The rate limits of several gateways with one board, which send requests to one upstream that
 * names a limit. A gateway reports after a request and at intervals, and asks before a request.
 */
final class SimulatedGateways {
  static final UpstreamRecord UPSTREAM = upstream("i-1", 100);

  private static final Duration STEP = Duration.ofMillis(10);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);
  private static final Duration MAX_AGE = Duration.ofMillis(50);

  private final ManualClock clock = new ManualClock();
  private final Random random = new Random(24);
  private final List<RequestRateLimits> gateways = new ArrayList<>();
  private final List<Set<String>> known = new ArrayList<>();
  private final Deque<Runnable> underWay = new ArrayDeque<>();
  private final List<Long> answeredNanos = new ArrayList<>();
  private final List<Long> reportedNanos = new ArrayList<>();

  /** The gateways whose last report had requests to count. */
  private final Set<Integer> reportedUse = new HashSet<>();

  private Board board;
  private long lastCall;
  private OptionalDouble named = OptionalDouble.empty();

  /** The times of the requests that the upstream got. */
  final List<Long> sentMillis = new ArrayList<>();

  /** The part of the messages between gateways that are lost, from 0 to 1. */
  double lostMessages;

  static UpstreamRecord upstream(String id, long startedMillis) {
    return new UpstreamRecord(
        id, "shop", "10.0.0.1:80", "dc-a", 6, UpstreamPhase.READY, startedMillis, 1, 0, 0);
  }

  RequestRateLimits get(int index) {
    return gateways.get(index);
  }

  /** Replaces a gateway by one that knows nothing. */
  void restart(int index) {
    gateways.set(index, create(index));
    answeredNanos.set(index, Long.MIN_VALUE / 2);
  }

  /** Lets the upstream name no limit any more, in an answer to one gateway first. */
  void endLimit(int gateway) {
    named = OptionalDouble.empty();
    answer(gateways.get(gateway));
    underWay.add(() -> callBoard(gateway));
  }

  /** Starts gateways that know each other. */
  void start(int count) {
    for (int i = 0; i < count; i++) {
      known.add(new HashSet<>());
    }
    for (int i = 0; i < count; i++) {
      for (int j = 0; j < count; j++) {
        if (i != j) {
          known.get(i).add("gateway-" + j);
        }
      }
      gateways.add(create(i));
      answeredNanos.add(Long.MIN_VALUE / 2);
      reportedNanos.add(Long.MIN_VALUE / 2);
    }
    Set<String> names = new HashSet<>(known.get(0));
    names.add("gateway-0");
    board = Board.ofFirstPool("shop", 1, () -> names, clock);
  }

  private RequestRateLimits create(int index) {
    return new RequestRateLimits(() -> known.get(index), clock, random);
  }

  /** Lets the upstream name a limit from now on, in an answer to one gateway first. */
  void name(int gateway, double requestsPerSecond) {
    named = OptionalDouble.of(requestsPerSecond);
    answer(gateways.get(gateway));
    underWay.add(() -> callBoard(gateway));
  }

  private void answer(RequestRateLimits gateway) {
    gateway.recordAnswer(
        UPSTREAM,
        new ResponseHead(
            true,
            false,
            false,
            Either.right(named),
            false,
            Either.right(Optional.empty()),
            Either.right(Optional.empty())));
  }

  /**
   * Lets requests arrive at random at all gateways; messages and answers arrive a little later.
   *
   * @param shareOfFirst the part of the requests that the first gateway gets beside its equal share
   */
  void play(Duration time, double requestsPerSecond, double shareOfFirst) {
    for (long step = 0; step < time.dividedBy(STEP); step++) {
      clock.advance(STEP);
      while (!underWay.isEmpty()) {
        underWay.removeFirst().run();
      }
      for (int i = 0; i < gateways.size(); i++) {
        if (clock.nanoTime() - reportedNanos.get(i) >= REPORT_INTERVAL.toNanos()
            && (usesLimits(gateways.get(i)) || reportedUse.contains(i))) {
          callBoard(i);
        }
      }
      double expected = requestsPerSecond * STEP.toMillis() / 1_000;
      int arrivals = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
      for (int i = 0; i < arrivals; i++) {
        int at = random.nextDouble() < shareOfFirst ? 0 : random.nextInt(gateways.size());
        RequestRateLimits gateway = gateways.get(at);
        refresh(at);
        if (gateway.allows(UPSTREAM)) {
          gateway.recordSent(UPSTREAM);
          underWay.add(() -> answer(gateway));
          underWay.add(() -> callBoard(at));
          sentMillis.add(clock.nanoTime() / 1_000_000);
        }
      }
    }
  }

  /** Lets a gateway ask the board unless it knows the others' requests, as before a request. */
  void refresh(int gateway) {
    if (clock.nanoTime() - answeredNanos.get(gateway) > MAX_AGE.toNanos()) {
      callBoard(gateway);
    }
  }

  private static boolean usesLimits(RequestRateLimits gateway) {
    return gateway.ownShares().stream().anyMatch(share -> share.sent() + share.eligible() > 0);
  }

  /** Tells the board a gateway's shares and learns those of the others; either may be lost. */
  private void callBoard(int index) {
    reportedNanos.set(index, clock.nanoTime());
    if (usesLimits(gateways.get(index))) {
      reportedUse.add(index);
    } else {
      reportedUse.remove(index);
    }
    BoardCall.Builder call =
        BoardCall.newBuilder()
            .setVm("gateway-" + index)
            .setGatewayRun(1)
            .setNumber(++lastCall)
            .setService("shop");
    gateways.get(index).ownShares().forEach(share -> call.addLimits(BoardCodec.data(share)));
    if (random.nextDouble() < lostMessages) {
      return;
    }
    BoardAnswer answer = board.handle(call.build());
    if (random.nextDouble() < lostMessages) {
      return;
    }
    answeredNanos.set(index, clock.nanoTime());
    gateways
        .get(index)
        .replaceRemote(
            "shop/0",
            answer.getLimitsList().stream().map(BoardCodec::share).toList(),
            answer.getSilentGateways());
  }
}
