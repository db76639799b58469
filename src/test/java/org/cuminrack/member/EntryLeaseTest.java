package org.cuminrack.member;

import static com.google.common.truth.Truth.assertThat;

import org.cuminrack.control.LeaseSettings;
import org.junit.jupiter.api.Test;

class EntryLeaseTest {
  private static final long VALID_NANOS = LeaseSettings.standard().expiryAtEntry().toNanos();

  private final EntryLease lease = new EntryLease(LeaseSettings.standard());

  @Test
  void shouldCountFromSendingOfRenewal() {
    lease.onRenewed(1_000, 5, 5);

    assertThat(lease.isValid(1_000 + VALID_NANOS - 1)).isTrue();
    assertThat(lease.isValid(1_000 + VALID_NANOS)).isFalse();
  }

  @Test
  void shouldNotBeValidAfterLongSuspension() {
    lease.onRenewed(1_000, 5, 5);

    lease.onRenewed(2_000, 5, 5);

    assertThat(lease.isValid(2_000 + 3 * VALID_NANOS)).isFalse();
  }

  @Test
  void shouldBeValidOnlyOnceRevisionOfReplyIsApplied() {
    lease.onRenewed(1_000, 6, 5);
    assertThat(lease.isValid(1_001)).isFalse();

    lease.onApplied(6);
    assertThat(lease.isValid(1_001)).isTrue();
  }

  @Test
  void shouldKeepPreviousLeaseWhileRenewalIsPending() {
    lease.onRenewed(1_000, 5, 5);

    lease.onRenewed(1_000 + VALID_NANOS / 2, 6, 5);

    assertThat(lease.isValid(1_000 + VALID_NANOS - 1)).isTrue();
    assertThat(lease.isValid(1_000 + VALID_NANOS)).isFalse();
  }

  @Test
  void shouldNotBeShortenedByOutOfOrderResponse() {
    lease.onRenewed(2_000, 5, 5);

    lease.onRenewed(1_000, 5, 5);

    assertThat(lease.isValid(1_000 + VALID_NANOS)).isTrue();
  }

  @Test
  void shouldEndImmediatelyWhenReleased() {
    lease.onRenewed(1_000, 6, 5);

    lease.release();
    lease.onApplied(6);

    assertThat(lease.isValid(1_001)).isFalse();
  }
}
