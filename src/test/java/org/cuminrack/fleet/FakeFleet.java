package org.cuminrack.fleet;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminrack.control.ControlState;
import org.cuminrack.generated.fleet.WatchCall;
import org.cuminrack.platform.RoutingDocuments;
import org.cuminrack.quorum.LossTolerance;
import org.cuminrack.time.ManualClock;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireFailure;
import org.cuminrack.wire.WireGroup;

/** Control VMs, gateways and upstreams without a network, on a manual clock. */
final class FakeFleet {
  private static final Duration DELAY = Duration.ofMillis(2);
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(1500);
  private static final Duration RETRY_DELAY = Duration.ofMillis(150);
  private static final Duration ANNOUNCE_INTERVAL = Duration.ofMillis(1200);
  private static final Duration SHARE_DELAY = Duration.ofMillis(480);

  final ManualClock clock = new ManualClock();
  private final ManualTimer.Tasks tasks = new ManualTimer.Tasks(clock);
  private final List<FakeControl> controls = new ArrayList<>();
  private final List<FakeGateway> gateways = new ArrayList<>();
  private final Set<String> endedUpstreams = new HashSet<>();
  private final Set<Integer> cutOff = new HashSet<>();
  private long messages;
  private long bytes;

  FakeFleet(int controlCount) {
    IntStream.range(0, controlCount).forEach(i -> controls.add(new FakeControl()));
  }

  void startUpstreams(int count) {
    for (int i = 0; i < count; i++) {
      String id = "i-%010x".formatted(i * 7919);
      int home = i % controls.size();
      tasks.add(
          Duration.ofMillis(i * 37L % ANNOUNCE_INTERVAL.toMillis()),
          () -> announce(id, home, 1, clock.nanoTime() + Duration.ofSeconds(20).toNanos()));
    }
  }

  private void announce(String id, int home, long sequence, long coldUntilNanos) {
    if (endedUpstreams.contains(id)) {
      return;
    }
    int receiver = home;
    while (cutOff.contains(receiver)) {
      receiver = (receiver + 1) % controls.size();
    }
    UpstreamRecord announced = upstream(id, UpstreamPhase.READY, sequence, coldUntilNanos);
    for (int i = 0; i < controls.size(); i++) {
      FakeControl control = controls.get(i);
      if (!cutOff.contains(i)) {
        Duration delay = i == receiver ? DELAY : SHARE_DELAY;
        tasks.add(delay, () -> control.timer.run(() -> control.merge(announced)));
      }
    }
    tasks.add(ANNOUNCE_INTERVAL, () -> announce(id, home, sequence + 1, coldUntilNanos));
  }

  UpstreamRecord upstream(String id, UpstreamPhase phase, long sequence, long coldUntilNanos) {
    long nowNanos = clock.nanoTime();
    String address = "10.128." + Math.floorMod(id.hashCode(), 60_000) + ":8080";
    return new UpstreamRecord(
        id, "pool", address, "cairo-a", 24, phase, 100, sequence, coldUntilNanos, nowNanos);
  }

  /** Ends an upstream without a word. */
  void endUpstream(String id) {
    endedUpstreams.add(id);
  }

  /** Starts gateways at equal intervals. */
  void startGateways(int count, Duration within) {
    for (int i = 0; i < count; i++) {
      FakeGateway gateway = new FakeGateway(gateways.size());
      gateways.add(gateway);
      tasks.add(within.multipliedBy(i).dividedBy(count), () -> gateway.watcher.start());
    }
  }

  void advance(Duration by) {
    tasks.advance(by);
  }

  /** Returns the gateways' views. */
  List<FleetView> views() {
    return gateways.stream().map(gateway -> gateway.view).toList();
  }

  /** Returns the age of an upstream's announcement at a gateway, in milliseconds. */
  long ageMillis(int gateway, String id) {
    return gateways
        .get(gateway)
        .view
        .upstreams()
        .find(id)
        .orElseThrow()
        .age(clock.nanoTime())
        .toMillis();
  }

  FleetControl control(int index) {
    return controls.get(index).fleet;
  }

  void pauseControl(int index) {
    controls.get(index).timer.pause();
  }

  void resumeControl(int index) {
    controls.get(index).timer.resume();
  }

  /** Replaces a control VM's process by a new one. */
  void restartControl(int index) {
    controls.get(index).timer.stop();
    controls.set(index, new FakeControl());
  }

  /** Cuts a control VM off from upstreams and other control VMs, not from gateways. */
  void cutOffControl(int index) {
    cutOff.add(index);
  }

  void joinControl(int index) {
    cutOff.remove(index);
  }

  void pauseGateway(int index) {
    gateways.get(index).timer.pause();
  }

  void resumeGateway(int index) {
    gateways.get(index).timer.resume();
  }

  void endGateway(int index) {
    gateways.get(index).timer.stop();
    gateways.remove(index);
  }

  /** Returns calls and answers for each gateway since the last time. */
  Traffic takeTraffic() {
    Traffic traffic =
        new Traffic((double) messages / gateways.size(), (double) bytes / gateways.size());
    messages = 0;
    bytes = 0;
    return traffic;
  }

  /** Messages and their bytes, for each gateway. */
  record Traffic(double messages, double bytes) {}

  private final class FakeControl {
    final ManualTimer timer = new ManualTimer(tasks);
    final FleetControl fleet =
        new FleetControl(
            new ControlState(),
            new FakeDepartureStore(),
            new WireClient(new WireGroup("eu", "main")),
            () -> true,
            () -> new ControlVms("c", "cairo-a", Map.of(), 0, Set.of()),
            new LossTolerance(0, 0),
            clock,
            timer);

    FakeControl() {
      fleet.start();
    }

    void merge(UpstreamRecord announced) {
      fleet.mergeAnnouncement(announced).join();
    }
  }

  private final class FakeGateway {
    final FleetView view = new FleetView(new RoutingDocuments());
    final ManualTimer timer = new ManualTimer(tasks);
    final FleetWatcher watcher;

    FakeGateway(int number) {
      String name = "front-cairo-%03d".formatted(number);
      GatewayRecord record =
          new GatewayRecord(name, "cairo-a", "10.0.0." + number + ":80", "10.0.0." + number, true);
      Set<String> addresses =
          IntStream.range(0, controls.size()).mapToObj(i -> "c:" + i).collect(Collectors.toSet());
      watcher =
          new FleetWatcher(
              view,
              this::call,
              addresses,
              () -> record,
              () -> GatewayLoad.UNKNOWN,
              task -> timer.runAfter(RETRY_DELAY, task),
              clock);
    }

    private CompletableFuture<Either<WireFailure, byte[]>> call(String address, WatchCall call) {
      CompletableFuture<Either<WireFailure, byte[]>> reply = new CompletableFuture<>();
      byte[] payload = call.toByteArray();
      count(payload);
      int index = Integer.parseInt(address.substring(2));
      FakeControl control = controls.get(index);
      timer.runAfter(
          CALL_TIMEOUT, () -> reply.complete(Either.left(new WireFailure.NoAnswer(address, "t"))));
      tasks.add(
          DELAY,
          () ->
              control.timer.run(
                  () ->
                      control
                          .fleet
                          .watch(payload)
                          .thenAccept(
                              answer -> {
                                count(answer);
                                tasks.add(
                                    DELAY,
                                    () -> timer.run(() -> reply.complete(Either.right(answer))));
                              })));
      return reply;
    }

    private void count(byte[] payload) {
      messages++;
      bytes += payload.length;
    }
  }
}
