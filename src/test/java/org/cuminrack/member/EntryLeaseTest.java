package org.cuminrack.member;

import static com.google.common.truth.Truth.assertThat;

import org.cuminrack.control.LeaseSettings;
import org.junit.jupiter.api.Test;

class EntryLeaseTest {
  private static final long USABLE_NANOS = LeaseSettings.standard().expiryAtEntry().toNanos();

  private final EntryLease lease = new EntryLease(LeaseSettings.standard());

  @Test
  void shouldCountFromSendingOfRenewal() {
    lease.renewed(1_000, 5, 5);

    assertThat(lease.isValid(1_000 + USABLE_NANOS - 1)).isTrue();
    assertThat(lease.isValid(1_000 + USABLE_NANOS)).isFalse();
  }

  @Test
  void shouldNotBeValidAfterLongSuspension() {
    lease.renewed(1_000, 5, 5);

    lease.renewed(2_000, 5, 5);

    assertThat(lease.isValid(2_000 + 3 * USABLE_NANOS)).isFalse();
  }

  @Test
  void shouldBeValidOnlyOnceRevisionOfReplyIsApplied() {
    lease.renewed(1_000, 6, 5);
    assertThat(lease.isValid(1_001)).isFalse();

    lease.onApplied(6);
    assertThat(lease.isValid(1_001)).isTrue();
  }

  @Test
  void shouldKeepPreviousLeaseWhileRenewalIsPending() {
    lease.renewed(1_000, 5, 5);

    lease.renewed(1_000 + USABLE_NANOS / 2, 6, 5);

    assertThat(lease.isValid(1_000 + USABLE_NANOS - 1)).isTrue();
    assertThat(lease.isValid(1_000 + USABLE_NANOS)).isFalse();
  }

  @Test
  void shouldNotBeShortenedByOutOfOrderResponse() {
    lease.renewed(2_000, 5, 5);

    lease.renewed(1_000, 5, 5);

    assertThat(lease.isValid(1_000 + USABLE_NANOS)).isTrue();
  }

  @Test
  void shouldEndImmediatelyWhenReleased() {
    lease.renewed(1_000, 6, 5);

    lease.release();
    lease.onApplied(6);

    assertThat(lease.isValid(1_001)).isFalse();
  }
}
