package org.cuminrack.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cuminrack.generated.rollout.HaltRollout;
import org.cuminrack.generated.rollout.RolloutFigures;
import org.cuminrack.generated.rollout.RolloutReport;
import org.cuminrack.generated.rollout.RouteFiguresData;
import org.cuminrack.quorum.InMemoryLog;
import org.cuminrack.rollout.RolloutStage;
import org.cuminrack.rollout.VersionCapacity;
import org.cuminrack.rollout.VersionRollout;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Two control VMs of which one is lost in each stage, and one gateway that reports to the leader.
 */
class RolloutLeaderTest {
  private static final Duration DURATION = Duration.ofSeconds(12);
  private static final Duration TICK = Duration.ofMillis(250);
  private static final int REQUESTS_A_TICK = 20;

  /** The election and the time that a manual clock's ticks round up. */
  private static final int TICKS_WITHOUT_LEADER = 4;

  private final ManualClock clock = new ManualClock();
  private final InMemoryLog log = new InMemoryLog();
  private final Map<String, Vm> vms = new LinkedHashMap<>();
  private final int[] sent = new int[2];
  private final int[] failed = new int[2];
  private String leader = "";
  private double credit;
  private double failedShare;
  private int ticks;

  private record Vm(ControlState state, RolloutControl control, RolloutLeader leader) {}

  @BeforeEach
  void start() throws Exception {
    for (String name : List.of("a", "b")) {
      ControlState state = new ControlState();
      InMemoryLog.Replica replica = log.addReplica(name, state);
      RolloutControl control = new RolloutControl(replica, state, clock);
      vms.put(
          name,
          new Vm(
              state,
              control,
              new RolloutLeader(
                  replica, control, rollout -> new VersionCapacity(4, 24, 24), clock)));
    }
    elect("a");
    assertThat(
            vms.get("a")
                .control()
                .start("shop", "v2", Set.of("v1", "v2"), DURATION)
                .get()
                .isRight())
        .isTrue();
  }

  @ParameterizedTest
  @EnumSource(names = {"TRIAL", "LOAD", "GROWTH", "FULL"})
  void shouldFinishInTimeIfTheLeaderIsLost(RolloutStage stage) {
    playUntil(stage);
    loseLeader();

    playUntil(RolloutStage.DONE);

    assertThat(ticks * TICK.toMillis()).isAtMost(DURATION.toMillis());
    assertReplaysTo(RolloutStage.DONE);
  }

  @ParameterizedTest
  @EnumSource(names = {"TRIAL", "LOAD", "GROWTH", "FULL"})
  void shouldRollBackAVersionThatTurnsBadAsTheLeaderIsLost(RolloutStage stage) {
    playUntil(stage);
    failedShare = 0.5;
    loseLeader();

    playUntil(RolloutStage.ROLLED_BACK);

    assertThat(ticks * TICK.toMillis()).isAtMost(DURATION.toMillis());
    assertReplaysTo(RolloutStage.ROLLED_BACK);
  }

  @Test
  void shouldRollBackIfAnOperatorHaltsIt() {
    playUntil(RolloutStage.LOAD);

    vms.get("a").leader().halt(HaltRollout.newBuilder().setService("shop").build().toByteArray());

    assertThat(rollout().stage()).isEqualTo(RolloutStage.ROLLED_BACK);
    assertThat(rollout().reason()).isEqualTo("halted by an operator");
  }

  private void loseLeader() {
    elect("");
    for (int i = 0; i < TICKS_WITHOUT_LEADER; i++) {
      tick();
    }
    elect("b");
  }

  private void elect(String name) {
    leader = name;
    log.startTerm(name);
  }

  private void playUntil(RolloutStage stage) {
    while (rollout().stage() != stage) {
      assertWithMessage("ticks, stage " + rollout()).that(ticks).isLessThan(100);
      tick();
    }
  }

  private VersionRollout rollout() {
    return vms.get("b").control().applied().get(0);
  }

  private void tick() {
    clock.advance(TICK);
    ticks++;
    for (int i = 0; i < REQUESTS_A_TICK; i++) {
      credit += rollout().share();
      int version = credit >= 1 ? 1 : 0;
      credit -= version;
      sent[version]++;
      if (version == 1 && sent[1] % 10 < 10 * failedShare) {
        failed[1]++;
      }
    }
    if (!leader.isEmpty() && ticks % 2 == 0) {
      vms.get(leader).leader().receive(report());
    }
    vms.values().forEach(vm -> vm.leader().tick());
  }

  private byte[] report() {
    RolloutFigures.Builder figures =
        RolloutFigures.newBuilder().setId(rollout().id()).setAgeMillis(ticks * TICK.toMillis());
    for (int version = 0; version < 2; version++) {
      figures.addRoutes(
          RouteFiguresData.newBuilder()
              .setRoute("read")
              .setNewVersion(version == 1)
              .setSent(sent[version])
              .setFailed(failed[version])
              .addAnswered(sent[version] - failed[version]));
    }
    return RolloutReport.newBuilder()
        .setVm("gateway-1")
        .setBoot(7)
        .addRollouts(figures)
        .build()
        .toByteArray();
  }

  private void assertReplaysTo(RolloutStage stage) {
    ControlState replayed = new ControlState();
    log.addReplica("c", replayed);
    ControlState restored = new ControlState();
    restored.restore(1, vms.get("a").state().snapshot());

    for (ControlState state : List.of(replayed, restored)) {
      assertThat(RolloutCodec.rollout(state.routing().getRollouts(0)).stage()).isEqualTo(stage);
    }
  }
}
