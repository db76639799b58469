package org.cuminrack.model;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class LeaseModelTest {
  private final AlloyRunner lease = AlloyRunner.of("lease.als");

  @Test
  void shouldLetOnlyOneEntryAdmit() {
    assertThat(lease.finds("oneAdmitsCheck")).isFalse();
  }

  @Test
  void shouldRefuteALeaseCountedFromTheAnswer() {
    assertThat(lease.finds("arrivalMutantCheck")).isTrue();
  }

  @Test
  void shouldRefuteASessionEndedWithoutTheMargin() {
    assertThat(lease.finds("earlyMutantCheck")).isTrue();
  }

  @Test
  void shouldLetOwnershipMove() {
    assertThat(lease.finds("ownershipMoves")).isTrue();
  }
}
