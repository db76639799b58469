package org.cuminrack.model;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ElectionModelTest {
  private final AlloyRunner election = AlloyRunner.of("election.als");

  @Test
  void shouldFindNoCounterexampleToTheProtocol() {
    assertThat(election.finds("ProtocolIsSafe")).isFalse();
  }

  @Test
  void shouldRefuteTheMutantWhoseWipedVmVotesAgain() {
    assertThat(election.finds("MutantIsSafe")).isTrue();
  }

  @Test
  void shouldLetALostDiskBeReplaced() {
    assertThat(election.finds("replacementHappens")).isTrue();
  }
}
