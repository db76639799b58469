package org.cuminrack.model;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class LedgerModelTest {
  private final AlloyRunner ledger = AlloyRunner.of("ledger.als");

  @Test
  void shouldRunACallAtMostOnce() {
    assertThat(ledger.hasInstance("callRunsAtMostOnceCheck")).isFalse();
  }

  @Test
  void shouldNeverReportAnExecutedCallAsNotRun() {
    assertThat(ledger.hasInstance("notRunIsTrueCheck")).isFalse();
  }

  @Test
  void shouldFindACounterexampleIfCallsOfAnEndedSessionCountAsNotRun() {
    assertThat(ledger.hasInstance("mutantCheck")).isTrue();
  }

  @Test
  void shouldAllowAnAbandonedCallToBeClaimedAgain() {
    assertThat(ledger.hasInstance("claimedAgain")).isTrue();
  }
}
