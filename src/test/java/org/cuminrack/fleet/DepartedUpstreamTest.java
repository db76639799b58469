package org.cuminrack.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.cuminrack.control.ControlState;
import org.cuminrack.generated.control.DepartureRequest;
import org.cuminrack.generated.fleet.WatchAnswer;
import org.cuminrack.generated.fleet.WatchCall;
import org.cuminrack.quorum.LossTolerance;
import org.cuminrack.time.ManualClock;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireGroup;
import org.junit.jupiter.api.Test;

/**
 * Guards against upstreams that are used again after they said that they take no new requests: the
 * replicated state is all that is left after a restart of all control VMs.
 */
class DepartedUpstreamTest {
  private static final UpstreamRecord READY = announced(100, 4, UpstreamPhase.READY);
  private static final UpstreamRecord LEFT = announced(100, 4, UpstreamPhase.LEFT);
  private static final UpstreamRecord DRAINING = announced(100, 6, UpstreamPhase.DRAINING);

  private final ManualClock clock = new ManualClock();
  private final ManualTimer.Tasks tasks = new ManualTimer.Tasks(clock);
  private final ControlState state = new ControlState();
  private final FakeDepartureStore store = new FakeDepartureStore(state);
  private FleetControl control = start();

  @Test
  void shouldNotUseAnUpstreamThatLeftAfterARestart() {
    merge(READY);
    merge(LEFT);

    control = start();
    merge(announced(100, 5, UpstreamPhase.READY));
    assertPhase(UpstreamPhase.LEFT);

    control = start();
    merge(announced(100, 5, UpstreamPhase.READY));
    assertPhase(UpstreamPhase.LEFT);
  }

  @Test
  void shouldUseALaterIncarnationUnderTheSameId() {
    merge(LEFT);
    merge(announced(200, 1, UpstreamPhase.READY));
    assertPhase(UpstreamPhase.READY);

    control = start();
    merge(announced(200, 2, UpstreamPhase.READY));
    assertPhase(UpstreamPhase.READY);
    merge(announced(100, 5, UpstreamPhase.READY));
    assertPhase(UpstreamPhase.READY);
  }

  @Test
  void shouldKeepAnUpstreamDrainingAfterARestartUntilItSaysOtherwise() {
    merge(READY);
    merge(DRAINING);
    control = start();

    merge(announced(100, 5, UpstreamPhase.READY));
    assertPhase(UpstreamPhase.DRAINING);
    merge(announced(100, 7, UpstreamPhase.READY));
    assertPhase(UpstreamPhase.READY);
  }

  @Test
  void shouldNotAcknowledgeADepartureThatIsNotStored() {
    merge(READY);
    store.loseQuorum();

    assertThat(control.mergeAnnouncement(DRAINING).join()).isFalse();
    assertThat(control.mergeAnnouncement(LEFT).join()).isFalse();
    assertPhase(UpstreamPhase.LEFT);
  }

  @Test
  void shouldStoreADepartureOnce() {
    merge(READY);
    merge(DRAINING);
    merge(announced(100, 7, UpstreamPhase.DRAINING));
    merge(announced(100, 8, UpstreamPhase.DRAINING));
    assertThat(store.stored).hasSize(1);

    merge(LEFT);
    merge(LEFT);
    assertThat(store.stored).hasSize(2);
  }

  @Test
  void shouldStoreTheLeaveOfAnUpstreamThatIsNotKnown() {
    merge(UpstreamRecord.departed("i-1", UpstreamPhase.LEFT, 100, 0, 0));
    merge(UpstreamRecord.departed("i-2", UpstreamPhase.LEFT, 90, 0, 0));

    merge(READY);

    assertPhase(UpstreamPhase.LEFT);
    assertThat(store.stored).hasSize(2);
    assertThat(control.upstream("i-2").get().phase()).isEqualTo(UpstreamPhase.LEFT);
  }

  @Test
  void shouldApplyADepartureThatAnotherControlVmStored() {
    merge(READY);

    store.store(
        DepartureRequest.newBuilder()
            .setUpstream("i-1")
            .setStartedMillis(100)
            .setSequence(6)
            .build());

    assertPhase(UpstreamPhase.DRAINING);
  }

  /** A gateway that was cut off as the upstream left still has it in its view. */
  @Test
  void shouldTellGatewaysAfterARestartOfRecentDepartures() throws Exception {
    merge(LEFT);

    control = start();
    tasks.advance(Duration.ofSeconds(1));

    WatchCall call =
        WatchCall.newBuilder()
            .setGateway(FleetCodec.data(new GatewayRecord("gw-1", "dc-a", "a:1", "a:2", false)))
            .setChangesOnly(true)
            .build();
    WatchAnswer answer = WatchAnswer.parseFrom(control.watch(call.toByteArray()).join());
    assertThat(answer.getUpstreamsCount()).isEqualTo(1);
    UpstreamRecord told = FleetCodec.upstream(answer.getUpstreams(0), clock.nanoTime());
    assertThat(told.phase()).isEqualTo(UpstreamPhase.LEFT);
    assertThat(told.isNewerThan(READY)).isTrue();
  }

  private void merge(UpstreamRecord announced) {
    assertThat(control.mergeAnnouncement(announced).join()).isTrue();
  }

  private void assertPhase(UpstreamPhase expected) {
    assertThat(control.upstream("i-1").get().phase()).isEqualTo(expected);
  }

  /** Starts a control VM that knows nothing but the replicated state. */
  private FleetControl start() {
    FleetControl started =
        new FleetControl(
            state,
            store,
            new WireClient(new WireGroup("eu", "main")),
            () -> true,
            () -> new ControlVms("c", "dc-a", Map.of(), 0, Set.of()),
            new LossTolerance(0, 0),
            clock,
            new ManualTimer(tasks));
    started.start();
    return started;
  }

  private static UpstreamRecord announced(long startedMillis, long sequence, UpstreamPhase phase) {
    return new UpstreamRecord(
        "i-1", "shop", "10.0.0.1:80", "dc-a", 6, phase, startedMillis, sequence, 0, 0);
  }
}
