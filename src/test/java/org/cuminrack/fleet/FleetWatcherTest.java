package org.cuminrack.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminrack.generated.fleet.WatchAnswer;
import org.cuminrack.platform.RoutingDocuments;
import org.cuminrack.time.ManualClock;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FleetWatcherTest {
  private static final WireGroup GROUP = new WireGroup("eu", "main");
  private static final GatewayRecord SELF = new GatewayRecord("gw-1", "dc-a", "a:1", "a:2", true);

  private final ManualClock clock = new ManualClock();
  private final FleetView view = new FleetView(new RoutingDocuments());
  private final WireClient wire = new WireClient(GROUP);
  private final FakeControlVm a = new FakeControlVm(GROUP);
  private final FakeControlVm b = new FakeControlVm(GROUP);
  private final FakeControlVm c = new FakeControlVm(GROUP);
  private final FakeControlVm d = new FakeControlVm(GROUP);
  private FleetWatcher watcher;

  @BeforeEach
  void start() {
    wire.start();
  }

  @AfterEach
  void stop() {
    watcher.stop();
    wire.stop();
    Stream.of(a, b, c, d).forEach(FakeControlVm::close);
  }

  @Test
  void shouldNotCountFormerVotersForQuorum() throws Exception {
    watch(a, b, c);

    a.answer(FakeControlVm.current(3, a, b, c).build());
    c.answer(FakeControlVm.current(7, b, c, d).build());
    assertThat(isComplete()).isFalse();

    d.answer(FakeControlVm.current(7, b, c, d).build());
    assertThat(isComplete()).isTrue();
  }

  @Test
  void shouldNotCountSeedsThatDoNotVoteForQuorum() throws Exception {
    watch(a, b, c);

    c.answer(FakeControlVm.current(7, d).build());
    b.answer(FakeControlVm.current(7, d).build());

    assertThat(isComplete()).isFalse();
  }

  @Test
  void shouldCountVotersAloneIfThereAreMoreSeeds() throws Exception {
    watch(a, b, c);

    a.answer(FakeControlVm.current(7, a).build());

    assertThat(isComplete()).isTrue();
  }

  @Test
  void shouldKeepNewestVotersIfAStaleVmAnswersLast() throws Exception {
    watch(a, b);

    a.answer(FakeControlVm.current(7, a, c).build());
    b.answer(FakeControlVm.current(3, b, d).build());

    assertThat(addresses()).isEqualTo(addressesOf(a, c));
  }

  @Test
  void shouldFollowLowerVotersIndexOnceNewerOneIsSilent() throws Exception {
    watch(a, b);

    a.answer(FakeControlVm.current(7, a, c).build());
    clock.advance(Duration.ofSeconds(11));
    b.answer(FakeControlVm.current(3, b, d).build());

    assertThat(addresses()).isEqualTo(addressesOf(b, d));
  }

  @Test
  void shouldCountVotersOfAnswersWithoutIndex() throws Exception {
    watch(a);

    a.answer(FakeControlVm.current(0, a, b, c).build());
    assertThat(isComplete()).isFalse();

    b.answer(FakeControlVm.current(0, a, b, c).build());
    assertThat(isComplete()).isTrue();
  }

  @Test
  void shouldCountSeedsWhileNoAnswerNamesVoters() throws Exception {
    watch(a, b, c);

    a.answer(FakeControlVm.current(0).build());
    assertThat(isComplete()).isFalse();

    b.answer(FakeControlVm.current(0).build());
    assertThat(isComplete()).isTrue();
  }

  @Test
  void shouldPollLearnerSoThatItsDirectoryKnowsGateways() throws Exception {
    watch(a);

    a.answer(leading(d));
    assertThat(d.isCalled()).isTrue();

    b.answer(FakeControlVm.current(7, a, b, c).build());
    d.answer(FakeControlVm.current(7, a, b, c).build());
    assertThat(watcher.answeredByAddress()).containsEntry(d.address(), true);
    assertThat(addresses()).isEqualTo(addressesOf(a, b, c));
  }

  @Test
  void shouldNotCountLearnerForQuorum() throws Exception {
    watch(a);

    a.answer(leading(d));
    d.answer(FakeControlVm.current(7, a, b, c).build());

    assertThat(isComplete()).isFalse();
  }

  @Test
  void shouldNotTakeGatewaysFromLearnerThatHasJustStarted() throws Exception {
    GatewayRecord other = new GatewayRecord("gw-2", "dc-a", "b:1", "b:2", true);
    watch(a);

    a.answer(
        leading(d).toBuilder()
            .addGateways(FleetCodec.data(SELF))
            .addGateways(FleetCodec.data(other))
            .build());
    d.answer(FakeControlVm.current(7, a, b, c).addGateways(FleetCodec.data(SELF)).build());

    assertThat(view.gateways()).containsExactly(SELF, other);
  }

  /** A polling that ends unnoticed would leave the gateway with old routes and upstreams. */
  @Test
  void shouldGoOnPollingAfterACallFailedInThisProcess() throws Exception {
    AtomicInteger calls = new AtomicInteger();
    watch(
        () -> {
          if (calls.incrementAndGet() == 2) {
            throw new IllegalStateException("test");
          }
          return SELF;
        },
        a);

    a.answer(FakeControlVm.current(7, a).build());

    assertThat(calls.get()).isAtLeast(3);
  }

  private WatchAnswer leading(FakeControlVm learner) {
    return FakeControlVm.current(7, a, b, c).addOtherControlAddresses(learner.address()).build();
  }

  private void watch(FakeControlVm... seeds) {
    watch(() -> SELF, seeds);
  }

  private void watch(Supplier<GatewayRecord> self, FakeControlVm... seeds) {
    watcher =
        new FleetWatcher(view, wire, addressesOf(seeds), self, () -> GatewayLoad.UNKNOWN, clock);
    watcher.start();
  }

  private boolean isComplete() {
    return !view.mayLackAnnouncements(clock.nanoTime() + Duration.ofDays(1).toNanos());
  }

  private Set<String> addresses() {
    return watcher.voterAddresses();
  }

  private static Set<String> addressesOf(FakeControlVm... vms) {
    return Stream.of(vms).map(FakeControlVm::address).collect(Collectors.toSet());
  }
}
