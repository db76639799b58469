package org.cuminrack.quorum;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class LossToleranceTest {
  private static final LossTolerance TWO_VMS = new LossTolerance(2, 1);

  @Test
  void shouldNeedAMajorityBesidesTheLostVms() {
    assertThat(new LossTolerance(0, 0).voterCount()).isEqualTo(1);
    assertThat(new LossTolerance(1, 1).voterCount()).isEqualTo(3);
    assertThat(TWO_VMS.voterCount()).isEqualTo(5);
    assertThat(new LossTolerance(1, 2).voterCount()).isEqualTo(5);
  }

  @Test
  void shouldDeriveTheTolerableMinorityFromTheNumberOfVoters() {
    assertThat(LossTolerance.ofMinority(1)).isEqualTo(new LossTolerance(0, 0));
    assertThat(LossTolerance.ofMinority(4)).isEqualTo(new LossTolerance(1, 0));
    assertThat(LossTolerance.ofMinority(5)).isEqualTo(new LossTolerance(2, 0));
  }

  @Test
  void shouldCountTheVotersOfTheLargestDataCentresAsLost() {
    assertThat(TWO_VMS.votersInLostDataCentres(List.of("a", "b", "b", "c", "a", "b"))).isEqualTo(3);
    assertThat(new LossTolerance(2, 2).votersInLostDataCentres(List.of("a", "b", "b", "c")))
        .isEqualTo(3);
  }

  @Test
  void shouldTellWhetherAMajoritySurvivesTheLossOfADataCentre() {
    assertThat(TWO_VMS.majoritySurvivesDataCentreLosses(List.of("a", "a", "b", "b", "c"))).isTrue();
    assertThat(TWO_VMS.majoritySurvivesDataCentreLosses(List.of("a", "a", "a", "b", "c")))
        .isFalse();
    assertThat(TWO_VMS.majoritySurvivesDataCentreLosses(List.of("a", "a", "b", "c"))).isFalse();
  }

  @Test
  void shouldTellWhetherACopySurvives() {
    assertThat(TWO_VMS.someCopySurvives(List.of("a", "b", "b"))).isTrue();
    assertThat(TWO_VMS.someCopySurvives(List.of("a", "b"))).isFalse();
    assertThat(TWO_VMS.someCopySurvives(List.of("a", "a", "a"))).isFalse();
  }

  @Test
  void shouldRejectNegativeNumbers() {
    assertThrows(IllegalArgumentException.class, () -> new LossTolerance(-1, 0));
    assertThrows(IllegalArgumentException.class, () -> new LossTolerance(0, -1));
  }
}
