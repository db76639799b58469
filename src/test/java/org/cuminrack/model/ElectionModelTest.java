package org.cuminrack.model;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ElectionModelTest {
  private final AlloyRunner election = AlloyRunner.of("election.als");

  @Test
  void shouldFindNoCounterexampleToTheProtocol() {
    assertThat(election.hasInstance("ProtocolIsSafe")).isFalse();
  }

  @Test
  void shouldFindACounterexampleIfAWipedVmVotesAgain() {
    assertThat(election.hasInstance("MutantIsSafe")).isTrue();
  }

  @Test
  void shouldAllowReplacementOfALostDisk() {
    assertThat(election.hasInstance("replacementHappens")).isTrue();
  }
}
