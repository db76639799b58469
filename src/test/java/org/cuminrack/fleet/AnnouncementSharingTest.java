package org.cuminrack.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cuminrack.control.ControlState;
import org.cuminrack.quorum.LossTolerance;
import org.cuminrack.system.FreePorts;
import org.cuminrack.time.ManualClock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AnnouncementSharingTest {
  private static final WireGroup GROUP = new WireGroup("eu", "main");
  private static final String OWN = "127.0.0.1:" + FreePorts.port();
  private static final UpstreamRecord READY =
      new UpstreamRecord(
          "i-1", "shop", "10.0.0.1:80", "dc-a", 6, UpstreamPhase.READY, 100, 1, 0, 0);
  private static final UpstreamRecord LEAVING =
      new UpstreamRecord("i-1", "shop", "10.0.0.1:80", "dc-a", 6, UpstreamPhase.LEFT, 100, 2, 0, 0);

  private final WireClient wire = new WireClient(GROUP);
  private final List<FakeControlVm> vms = new ArrayList<>();
  private final Map<String, String> dataCentreByVoter = new TreeMap<>(Map.of(OWN, "dc-a"));

  @BeforeEach
  void start() {
    wire.start();
  }

  @AfterEach
  void stop() {
    vms.forEach(FakeControlVm::close);
    wire.stop();
  }

  @Test
  void shouldNotAcknowledgeTwoCopiesIfTwoVmsMayBeLost() {
    addVoter("dc-b");
    addUnreachableVoters("dc-b", "dc-c", "dc-c");

    assertThat(isAcknowledged(new LossTolerance(2, 0))).isFalse();
  }

  @Test
  void shouldAcknowledgeThreeCopiesIfTwoVmsMayBeLost() {
    addVoter("dc-b");
    addVoter("dc-b");
    addUnreachableVoters("dc-c", "dc-c");

    assertThat(isAcknowledged(new LossTolerance(2, 1))).isTrue();
  }

  @Test
  void shouldNotAcknowledgeCopiesInOneDataCentreIfItMayBeLost() {
    addVoter("dc-a");
    addVoter("dc-a");
    addUnreachableVoters("dc-b", "dc-c");

    assertThat(isAcknowledged(new LossTolerance(2, 1))).isFalse();
  }

  @Test
  void shouldNotTakeUnknownDataCentreForAnotherOne() {
    addVoter("");
    addUnreachableVoters("dc-b");

    assertThat(isAcknowledged(new LossTolerance(1, 1))).isFalse();
  }

  @Test
  void shouldAcknowledgeOnceAllHaveItIfGroupIsSmallerThanLosses() {
    addVoter("dc-a");
    addVoter("dc-a");

    assertThat(isAcknowledged(new LossTolerance(4, 2))).isTrue();
  }

  @Test
  void shouldNotAcknowledgeWithoutOneOfThreeIfTwoMayBeLost() {
    addVoter("dc-b");
    addUnreachableVoters("dc-c");

    assertThat(isAcknowledged(new LossTolerance(2, 1))).isFalse();
  }

  @Test
  void shouldShareWithAnotherControlVmIfNoDiskMayBeLost() {
    addUnreachableVoters("dc-a");

    assertThat(isAcknowledged(new LossTolerance(0, 0))).isFalse();
  }

  @Test
  void shouldAcknowledgeAtOnceIfThereIsNoOtherVoter() {
    assertThat(isAcknowledged(new LossTolerance(2, 1))).isTrue();
  }

  @Test
  void shouldNotAcknowledgeARepeatedLeaveWithoutCopies() {
    addUnreachableVoters("dc-b", "dc-c");
    FleetControl control = control(new LossTolerance(1, 1));

    assertThat(control.mergeAnnouncement(LEAVING).join()).isFalse();
    assertThat(control.mergeAnnouncement(LEAVING).join()).isFalse();
  }

  private void addVoter(String dataCentre) {
    FakeControlVm vm = new FakeControlVm(GROUP);
    vms.add(vm);
    // The first connection of a process may take longer than an announcement is waited for.
    wire.call(vm.address(), Method.SHARE_UPSTREAMS, new byte[0], Duration.ofSeconds(5)).join();
    dataCentreByVoter.put(vm.address(), dataCentre);
  }

  private void addUnreachableVoters(String... dataCentres) {
    for (String dataCentre : dataCentres) {
      dataCentreByVoter.put("127.0.0.1:" + FreePorts.port(), dataCentre);
    }
  }

  private boolean isAcknowledged(LossTolerance tolerance) {
    return control(tolerance).mergeAnnouncement(READY).join();
  }

  private FleetControl control(LossTolerance tolerance) {
    ControlVms controlVms = new ControlVms(OWN, "dc-a", dataCentreByVoter, 1, Set.of());
    return new FleetControl(
        new ControlState(),
        new FakeDepartureStore(),
        wire,
        () -> true,
        () -> controlVms,
        tolerance,
        new ManualClock());
  }
}
