package org.cuminrack.model;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class LedgerModelTest {
  private final AlloyRunner ledger = AlloyRunner.of("ledger.als");

  @Test
  void shouldRunACallAtMostOnce() {
    assertThat(ledger.finds("callRunsAtMostOnceCheck")).isFalse();
  }

  @Test
  void shouldNeverSayNotRunOfACallThatRan() {
    assertThat(ledger.finds("notRunIsTrueCheck")).isFalse();
  }

  @Test
  void shouldRefuteThatTheCallsOfAnEndedSessionWereNotRun() {
    assertThat(ledger.finds("mutantCheck")).isTrue();
  }

  @Test
  void shouldLetACallThatWasGivenBackBeClaimedAnew() {
    assertThat(ledger.finds("claimedAnew")).isTrue();
  }
}
