package org.cuminrack.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.Range;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What gateways believe of upstreams and of each other while something fails. */
class WatchedFleetTest {
  private static final String UPSTREAM = "i-0000000000";

  /** Engines count as silent after this time. */
  private static final long SILENT_MILLIS = 2600;

  private final FakeFleet fleet = new FakeFleet(3);

  @BeforeEach
  void start() {
    fleet.startUpstreams(6);
    fleet.startGateways(4, Duration.ofMillis(300));
    fleet.advance(Duration.ofSeconds(5));
  }

  @Test
  void shouldNotTakeSoundUpstreamForSilent() {
    assertNeverSilent(Duration.ofSeconds(10));
  }

  @Test
  void shouldNoticeSilentUpstreamInTime() {
    fleet.endUpstream(UPSTREAM);
    fleet.advance(Duration.ofMillis(2400));

    long receivedNanos = fleet.control(0).upstream(UPSTREAM).get().receivedNanos();
    long ageMillis = Duration.ofNanos(fleet.clock.nanoTime() - receivedNanos).toMillis();
    assertThat(fleet.ageMillis(0, UPSTREAM)).isWithin(10).of(ageMillis);
  }

  @Test
  void shouldNotTakeUpstreamsForSilentThatOneControlVmDoesNotHear() {
    fleet.cutOffControl(0);

    assertNeverSilent(Duration.ofSeconds(10));
  }

  @Test
  void shouldNotTakeUpstreamsForSilentAfterControlVmWasFrozen() {
    fleet.pauseControl(0);
    assertNeverSilent(Duration.ofSeconds(4));
    fleet.resumeControl(0);

    assertNeverSilent(Duration.ofSeconds(4));
  }

  @Test
  void shouldNotCountWhatFrozenControlVmSaidLast() {
    fleet.pauseControl(0);
    fleet.endUpstream(UPSTREAM);

    fleet.advance(Duration.ofMillis(1200 + SILENT_MILLIS));

    assertThat(fleet.ageMillis(0, UPSTREAM)).isAtLeast(SILENT_MILLIS);
  }

  @Test
  void shouldHearAgainOfUpstreamsOfControlVmThatIsJoinedAgain() {
    fleet.cutOffControl(0);
    fleet.advance(Duration.ofSeconds(5));
    fleet.joinControl(0);
    fleet.advance(Duration.ofSeconds(3));
    fleet.pauseControl(1);
    fleet.pauseControl(2);

    assertNeverSilent(Duration.ofMillis(400));
  }

  @Test
  void shouldDateAnswersThatFrozenGatewayReadsLate() {
    fleet.pauseGateway(0);
    fleet.advance(Duration.ofSeconds(5));
    fleet.pauseControl(0);
    fleet.pauseControl(1);
    fleet.pauseControl(2);

    fleet.resumeGateway(0);

    assertThat(fleet.ageMillis(0, UPSTREAM)).isAtLeast(4000);
  }

  @Test
  void shouldNotResumeOldStateOfGatewaysAfterControlVmWasFrozen() {
    fleet.pauseControl(0);
    fleet.advance(Duration.ofSeconds(5));
    fleet.resumeControl(0);

    assertThat(fleet.control(0).gateways()).hasSize(4);
    fleet.advance(Duration.ofSeconds(3));
    assertThat(fleet.control(0).gateways()).hasSize(4);
  }

  @Test
  void shouldRemoveGatewayThatEnded() {
    fleet.endGateway(3);

    fleet.advance(Duration.ofMillis(2500));

    assertThat(fleet.control(0).gateways()).hasSize(3);
    assertGatewayCount(3);
  }

  @Test
  void shouldKeepGatewaysWhileControlVmStartsAgain() {
    fleet.restartControl(0);

    for (int i = 0; i < 200; i++) {
      fleet.advance(Duration.ofMillis(10));
      assertGatewayCount(4);
    }
  }

  @Test
  void shouldTellGatewaysAtOnceOfUpstreamThatDrains() {
    UpstreamRecord known = fleet.control(0).upstream(UPSTREAM).get();

    fleet
        .control(0)
        .mergeAnnouncement(
            fleet.upstream(UPSTREAM, UpstreamPhase.DRAINING, known.sequence() + 1, 0))
        .join();
    fleet.advance(Duration.ofMillis(30));

    for (FleetView view : fleet.views()) {
      assertThat(view.upstreams().find(UPSTREAM).get().phase()).isEqualTo(UpstreamPhase.DRAINING);
    }
  }

  @Test
  void shouldTellGatewaysOfOtherEndOfWarmUp() {
    fleet.endUpstream(UPSTREAM);
    UpstreamRecord known = fleet.control(0).upstream(UPSTREAM).get();
    long coldUntilNanos = known.coldUntilNanos() + Duration.ofSeconds(5).toNanos();

    fleet
        .control(0)
        .mergeAnnouncement(
            fleet.upstream(UPSTREAM, UpstreamPhase.READY, known.sequence() + 9, coldUntilNanos))
        .join();
    fleet.advance(Duration.ofSeconds(1));

    long toldNanos = fleet.views().get(0).upstreams().find(UPSTREAM).get().coldUntilNanos();
    assertThat(toldNanos - coldUntilNanos).isIn(Range.closed(0L, Duration.ofMillis(10).toNanos()));
  }

  private void assertGatewayCount(int expected) {
    List<Integer> counts = fleet.views().stream().map(view -> view.gateways().size()).toList();
    counts.forEach(count -> assertThat(count).isEqualTo(expected));
  }

  private void assertNeverSilent(Duration within) {
    for (long millis = 0; millis < within.toMillis(); millis += 20) {
      fleet.advance(Duration.ofMillis(20));
      for (FleetView view : fleet.views()) {
        for (UpstreamRecord upstream : view.upstreams().all()) {
          assertWithMessage("age of %s after %s ms", upstream.id(), millis)
              .that(upstream.age(fleet.clock.nanoTime()).toMillis())
              .isLessThan(SILENT_MILLIS);
        }
      }
    }
  }
}
