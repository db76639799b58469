package org.cuminrack.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.cuminrack.generated.control.RoutingData;
import org.cuminrack.generated.rollout.AdvanceRollout;
import org.cuminrack.generated.rollout.RolloutStageData;
import org.cuminrack.generated.rollout.StartRollout;
import org.cuminrack.generated.rollout.StartVerdictData;
import org.junit.jupiter.api.Test;

class RolloutStateTest {
  private final RoutingState state = new RoutingState();

  @Test
  void shouldStartARolloutFromTheOtherVersionsInUse() {
    assertThat(start(5, "v2", 0, "v1", "v2")).isEqualTo(StartVerdictData.START_ACCEPTED);

    assertThat(state.data().getRevision()).isEqualTo(5);
    assertThat(state.data().getRollouts(0).getFromList()).containsExactly("v1");
  }

  @Test
  void shouldAcknowledgeAnOrderThatIsSentAgain() {
    start(5, "v2", 0, "v1");

    assertThat(start(6, "v2", 4_000, "v1", "v2")).isEqualTo(StartVerdictData.START_REPEATED);
    assertThat(state.data().getRevision()).isEqualTo(5);
  }

  @Test
  void shouldRejectAnotherOrderWhileOneIsInProgress() {
    start(5, "v2", 0, "v1");

    assertThat(start(6, "v3", 100, "v1")).isEqualTo(StartVerdictData.START_IN_PROGRESS);
    assertThat(start(7, "v2", 10_001, "v1")).isEqualTo(StartVerdictData.START_IN_PROGRESS);
    assertThat(state.data().getRollouts(0).getTo()).isEqualTo("v2");
  }

  @Test
  void shouldRejectTheVersionInUse() {
    assertThat(start(5, "v1", 0, "v1")).isEqualTo(StartVerdictData.START_IN_USE);
    assertThat(state.data().getRolloutsList()).isEmpty();
    assertThat(state.data().getRevision()).isEqualTo(0);
  }

  @Test
  void shouldStartAgainAfterTheEnd() {
    start(5, "v2", 0, "v1");
    advance(6, 5, RolloutStageData.ROLLOUT_ROLLED_BACK);

    assertThat(start(7, "v2", 20_000, "v1")).isEqualTo(StartVerdictData.START_ACCEPTED);
    assertThat(state.data().getRollouts(0).getStage()).isEqualTo(RolloutStageData.ROLLOUT_TRIAL);
  }

  @Test
  void shouldNeverLeaveTheEndNorGoBack() {
    start(5, "v2", 0, "v1");
    advance(6, 5, RolloutStageData.ROLLOUT_GROWTH);
    advance(7, 5, RolloutStageData.ROLLOUT_LOAD);
    advance(8, 4, RolloutStageData.ROLLOUT_DONE);
    assertThat(state.data().getRollouts(0).getStage()).isEqualTo(RolloutStageData.ROLLOUT_GROWTH);

    advance(9, 5, RolloutStageData.ROLLOUT_ROLLED_BACK);
    advance(10, 5, RolloutStageData.ROLLOUT_DONE);

    assertThat(state.data().getRollouts(0).getStage())
        .isEqualTo(RolloutStageData.ROLLOUT_ROLLED_BACK);
    assertThat(state.data().getRevision()).isEqualTo(9);
  }

  @Test
  void shouldRestoreRolloutsAndReadStateWithoutAny() {
    start(5, "v2", 0, "v1");
    RoutingState restored = new RoutingState();
    restored.restore(state.data());
    assertThat(restored.data()).isEqualTo(state.data());

    restored.restore(RoutingData.newBuilder().setRevision(3).setVersion(2).build());

    assertThat(restored.data().getRolloutsList()).isEmpty();
  }

  private StartVerdictData start(long index, String to, long nowMillis, String... inUse) {
    StartRollout order =
        StartRollout.newBuilder()
            .setService("shop")
            .setTo(to)
            .addAllFrom(List.of(inUse))
            .setDurationMillis(30_000)
            .setSharePerMille(100)
            .build();
    return state.startRollout(index, order, nowMillis).getVerdict();
  }

  private void advance(long index, long id, RolloutStageData stage) {
    state.advanceRollout(
        index, AdvanceRollout.newBuilder().setService("shop").setId(id).setStage(stage).build());
  }
}
