package org.cuminrack.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.cuminrack.fleet.FakeFleet.Traffic;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What control VMs and gateways send each other, without frames and heartbeats of the wire. */
class WatchTrafficTest {
  private static final int CONTROL_VMS = 6;
  private static final int UPSTREAMS = 40;
  private static final int MAX_BYTES_PER_SECOND = 4000;
  private static final Duration START = Duration.ofSeconds(5);
  private static final Duration MEASURED = Duration.ofSeconds(10);

  private final FakeFleet fleet = new FakeFleet(CONTROL_VMS);

  @ParameterizedTest
  @ValueSource(ints = {6, 30, 120})
  void shouldBoundTrafficOfGatewayWhateverTheirNumber(int gateways) {
    startFleet(gateways);

    Traffic traffic = trafficWithin(MEASURED);

    double seconds = MEASURED.toSeconds();
    assertThat(traffic.messages() / seconds).isAtMost(CONTROL_VMS * 2 * 2.0);
    assertThat(traffic.bytes() / seconds).isAtMost(MAX_BYTES_PER_SECOND);
  }

  @Test
  void shouldNotGrowWithGateways() {
    startFleet(6);
    double bytesOfSix = trafficWithin(MEASURED).bytes();

    FakeFleet large = new FakeFleet(CONTROL_VMS);
    large.startUpstreams(UPSTREAMS);
    large.startGateways(120, Duration.ofMillis(300));
    large.advance(START);
    large.takeTraffic();
    large.advance(MEASURED);

    assertThat(large.takeTraffic().bytes()).isAtMost(bytesOfSix * 1.05);
  }

  @Test
  void shouldBoundTrafficOfHundredsOfGatewaysThatStart() {
    fleet.startUpstreams(UPSTREAMS);
    fleet.advance(Duration.ofSeconds(3));

    fleet.startGateways(370, Duration.ofMillis(300));
    fleet.advance(Duration.ofSeconds(1));

    // Each gateway is told of each other one once by each control VM, in a few answers.
    assertThat(fleet.takeTraffic().messages()).isAtMost(CONTROL_VMS * 2 * 8.0);
    assertThat(fleet.views().get(0).gateways()).hasSize(370);
  }

  @Test
  void shouldResendOnlyWhatRestartedControlVmKnows() {
    startFleet(30);
    double bytesBefore = trafficWithin(MEASURED).bytes();

    fleet.restartControl(0);
    double bytes = trafficWithin(MEASURED).bytes();

    int tableBytes = UPSTREAMS * 100 + 30 * 100;
    assertThat(bytes - bytesBefore).isAtMost(2 * tableBytes);
  }

  @Test
  void shouldResendNothingAfterControlVmWasFrozen() {
    startFleet(30);
    double bytesBefore = trafficWithin(MEASURED).bytes();

    fleet.pauseControl(0);
    fleet.advance(Duration.ofSeconds(4));
    fleet.takeTraffic();
    fleet.resumeControl(0);

    assertThat(trafficWithin(MEASURED).bytes()).isAtMost(bytesBefore * 1.1);
    assertThat(fleet.views().get(0).gateways()).hasSize(30);
  }

  private void startFleet(int gateways) {
    fleet.startUpstreams(UPSTREAMS);
    fleet.startGateways(gateways, Duration.ofMillis(300));
    fleet.advance(START);
    fleet.takeTraffic();
  }

  private Traffic trafficWithin(Duration duration) {
    fleet.advance(duration);
    return fleet.takeTraffic();
  }
}
