package org.cuminrack.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cuminrack.control.ControlState;
import org.cuminrack.generated.fleet.WatchAnswer;
import org.cuminrack.generated.fleet.WatchCall;
import org.cuminrack.quorum.LossTolerance;
import org.cuminrack.system.FreePorts;
import org.cuminrack.time.ManualClock;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireGroup;
import org.cuminrack.wire.WireServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FleetControlTest {
  private static final WireGroup GROUP = new WireGroup("eu", "main");
  private static final UpstreamRecord READY =
      new UpstreamRecord(
          "i-1", "shop", "10.0.0.1:80", "dc-a", 6, UpstreamPhase.READY, 100, 1, 0, 0);

  private static final WatchCall WATCH =
      WatchCall.newBuilder()
          .setGateway(FleetCodec.data(new GatewayRecord("gw-1", "dc-a", "a:1", "a:2", false)))
          .build();

  private final int firstPort = FreePorts.port();
  private final int secondPort = FreePorts.port();
  private final Set<String> voters =
      new TreeSet<>(Set.of("127.0.0.1:" + firstPort, "127.0.0.1:" + secondPort));
  private final WireClient wire = new WireClient(GROUP);
  private final FleetControl first = control(firstPort);
  private final FleetControl second = control(secondPort);
  private Set<String> learners = Set.of();
  private WireServer secondServer;

  @BeforeEach
  void start() {
    wire.start();
    secondServer =
        new WireServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), secondPort), GROUP);
    second.register(secondServer);
    secondServer.start();
  }

  @AfterEach
  void stop() {
    secondServer.stop();
    wire.stop();
  }

  @Test
  void shouldAcknowledgeOnceSecondControlVmHasAnnouncement() {
    assertThat(first.mergeAnnouncement(READY).join()).isTrue();

    assertThat(second.upstream("i-1").get().phase()).isEqualTo(UpstreamPhase.READY);
  }

  @Test
  void shouldNotAcknowledgeRoutingChangeStoredOnOneControlVmOnly() {
    first.mergeAnnouncement(READY).join();
    secondServer.stop();

    assertThat(first.mergeAnnouncement(draining()).join()).isFalse();
  }

  @Test
  void shouldAcknowledgeRenewalWithoutOtherControlVms() {
    first.mergeAnnouncement(READY).join();
    secondServer.stop();
    UpstreamRecord renewed =
        new UpstreamRecord(
            "i-1", "shop", "10.0.0.1:80", "dc-a", 6, UpstreamPhase.READY, 100, 2, 0, 0);

    assertThat(first.mergeAnnouncement(renewed).join()).isTrue();
  }

  @Test
  void shouldAcknowledgeIfItIsTheOnlyVoter() {
    voters.remove("127.0.0.1:" + secondPort);

    assertThat(first.mergeAnnouncement(READY).join()).isTrue();
  }

  @Test
  void shouldAnswerImmediatelyUntilGatewayKnowsStateIsCurrent() throws Exception {
    second.start();
    try {
      WatchAnswer firstResponse = WatchAnswer.parseFrom(second.watch(WATCH.toByteArray()).join());
      WatchCall next = WATCH.toBuilder().setControlBoot(firstResponse.getControlBoot()).build();

      assertThat(second.watch(next.toByteArray()).isDone()).isTrue();
      WatchCall callKnowingCurrent = next.toBuilder().setKnownCurrent(true).build();
      assertThat(second.watch(callKnowingCurrent.toByteArray()).isDone()).isFalse();
    } finally {
      second.stop();
    }
  }

  @Test
  void shouldNameVotersAndTheirIndex() throws Exception {
    WatchAnswer response = WatchAnswer.parseFrom(second.watch(WATCH.toByteArray()).join());

    assertThat(response.getControlAddressesList()).containsExactlyElementsIn(voters);
    assertThat(response.getVotersIndex()).isEqualTo(1);
  }

  @Test
  void shouldNameLearnersToGateways() throws Exception {
    learners = Set.of("127.0.0.1:1");

    WatchAnswer response = WatchAnswer.parseFrom(second.watch(WATCH.toByteArray()).join());

    assertThat(response.getOtherControlAddressesList()).containsExactly("127.0.0.1:1");
  }

  @Test
  void shouldShareAnnouncementsWithLearner() throws Exception {
    try (FakeControlVm learner = new FakeControlVm(GROUP)) {
      learners = Set.of(learner.address());
      voters.remove("127.0.0.1:" + secondPort);
      first.mergeAnnouncement(READY).join();

      first.start();

      assertThat(learner.isSharedTo()).isTrue();
    } finally {
      first.stop();
    }
  }

  private static UpstreamRecord draining() {
    return new UpstreamRecord(
        "i-1", "shop", "10.0.0.1:80", "dc-a", 6, UpstreamPhase.DRAINING, 100, 2, 0, 0);
  }

  private FleetControl control(int port) {
    return new FleetControl(
        new ControlState(),
        new FakeDepartureStore(),
        wire,
        () -> true,
        () -> controlVms(port),
        new LossTolerance(1, 0),
        new ManualClock());
  }

  private ControlVms controlVms(int port) {
    Map<String, String> dataCentreByVoter =
        voters.stream().collect(Collectors.toMap(Function.identity(), voter -> "dc-a"));
    return new ControlVms("127.0.0.1:" + port, "dc-a", dataCentreByVoter, 1, learners);
  }
}
