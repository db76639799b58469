package org.cuminrack.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.cuminrack.generated.control.MemberData;
import org.junit.jupiter.api.Test;

class LeaseTableTest {
  private static final LeaseSettings SETTINGS = LeaseSettings.standard();
  private static final long EXPIRY_NANOS = SETTINGS.expiryAtControl().toNanos();
  private static final MemberData FIRST = MemberData.newBuilder().setSessionId(5).build();
  private static final MemberData SECOND = MemberData.newBuilder().setSessionId(9).build();
  private static final List<MemberData> BOTH = List.of(FIRST, SECOND);

  private final LeaseTable table = new LeaseTable(SETTINGS);

  @Test
  void shouldExpireSessionAfterLeaseAndDriftMargin() {
    table.renew(5, 0, 0);

    assertThat(table.markExpired(List.of(FIRST), EXPIRY_NANOS)).isEmpty();
    assertThat(table.markExpired(List.of(FIRST), EXPIRY_NANOS + 1)).containsExactly(5L);
  }

  @Test
  void shouldOutlastLeaseOfEntryByTwiceTheDriftMargin() {
    Duration difference = SETTINGS.expiryAtControl().minus(SETTINGS.expiryAtEntry());

    assertThat(difference).isEqualTo(SETTINGS.driftMargin().multipliedBy(2));
  }

  @Test
  void shouldGrantFullLeaseToSessionNeverRenewed() {
    assertThat(table.markExpired(BOTH, 100)).isEmpty();
    assertThat(table.markExpired(BOTH, 100 + EXPIRY_NANOS)).isEmpty();
  }

  @Test
  void shouldRejectRenewalOfExpiringSession() {
    table.renew(5, 0, 0);
    table.markExpired(List.of(FIRST), EXPIRY_NANOS + 1);

    assertThat(table.renew(5, 0, EXPIRY_NANOS + 2)).isEqualTo(LeaseTable.Renewal.REFUSED);
    assertThat(table.markExpired(List.of(FIRST), EXPIRY_NANOS + 3)).containsExactly(5L);
  }

  @Test
  void shouldTreatUnreportedRevisionAsNotAcknowledged() {
    table.renew(5, 20, 0);

    assertThat(table.inForceRevision(20, BOTH)).isEqualTo(9);
  }

  @Test
  void shouldReturnRevisionAcknowledgedByEverySession() {
    table.renew(5, 20, 0);
    table.renew(9, 21, 0);

    assertThat(table.inForceRevision(22, BOTH)).isEqualTo(20);
  }

  @Test
  void shouldNeverDecreaseAcknowledgedRevision() {
    table.renew(5, 20, 0);

    assertThat(table.renew(5, 10, 1)).isEqualTo(LeaseTable.Renewal.SAME_REVISION);
    assertThat(table.acknowledgedRevision(FIRST)).isEqualTo(20);
  }

  @Test
  void shouldExtendAllLeasesAfterSuspensionOfLeader() {
    table.renew(5, 0, 0);
    table.extendAll(EXPIRY_NANOS + 1);

    assertThat(table.markExpired(List.of(FIRST), 2 * EXPIRY_NANOS)).isEmpty();
  }
}
