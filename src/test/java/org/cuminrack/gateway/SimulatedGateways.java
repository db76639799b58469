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
import org.cuminrack.time.ManualClock;

/** The rate limits of several gateways, which send requests to one upstream that names a limit. */
final class SimulatedGateways {
  static final UpstreamRecord UPSTREAM = upstream("i-1", 100);

  private static final Duration STEP = Duration.ofMillis(10);
  private static final Duration MESSAGE_INTERVAL = Duration.ofMillis(50);

  private final ManualClock clock = new ManualClock();
  private final Random random = new Random(24);
  private final List<RequestRateLimits> gateways = new ArrayList<>();
  private final List<Set<String>> known = new ArrayList<>();
  private final Deque<Runnable> underWay = new ArrayDeque<>();
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

  List<RequestRateLimits> all() {
    return gateways;
  }

  /** Replaces a gateway by one that knows nothing. */
  void restart(int index) {
    gateways.set(index, create(index));
  }

  /** Lets the upstream name no limit any more, in an answer to one gateway first. */
  void endLimit(int gateway) {
    named = OptionalDouble.empty();
    answer(gateways.get(gateway));
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
    }
  }

  private RequestRateLimits create(int index) {
    return new RequestRateLimits(() -> known.get(index), clock, random);
  }

  /** Lets the upstream name a limit from now on, in an answer to one gateway first. */
  void name(int gateway, double requestsPerSecond) {
    named = OptionalDouble.of(requestsPerSecond);
    answer(gateways.get(gateway));
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
      if (step % MESSAGE_INTERVAL.dividedBy(STEP) == 0) {
        exchangeMessages();
      }
      double expected = requestsPerSecond * STEP.toMillis() / 1_000;
      int arrivals = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
      for (int i = 0; i < arrivals; i++) {
        int at = random.nextDouble() < shareOfFirst ? 0 : random.nextInt(gateways.size());
        RequestRateLimits gateway = gateways.get(at);
        if (gateway.allows(UPSTREAM)) {
          gateway.recordSent(UPSTREAM);
          underWay.add(() -> answer(gateway));
          sentMillis.add(clock.nanoTime() / 1_000_000);
        }
      }
    }
  }

  private void exchangeMessages() {
    for (int from = 0; from < gateways.size(); from++) {
      List<RateLimitShare> shares = gateways.get(from).ownShares();
      for (int to = 0; to < gateways.size(); to++) {
        if (from != to && random.nextDouble() >= lostMessages) {
          RequestRateLimits receiver = gateways.get(to);
          String sender = "gateway-" + from;
          underWay.add(() -> receiver.replaceRemote(sender, shares));
        }
      }
    }
  }
}
