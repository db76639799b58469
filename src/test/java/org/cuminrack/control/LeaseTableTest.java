package org.cuminrack.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.cuminrack.generated.control.MemberData;
import org.junit.jupiter.api.Test;

class LeaseTableTest {
  private static final LeaseSettings SETTINGS = LeaseSettings.standard();
  private static final long OVER_NANOS = SETTINGS.overForControl().toNanos();
  private static final MemberData FIRST = MemberData.newBuilder().setSessionId(5).build();
  private static final MemberData SECOND = MemberData.newBuilder().setSessionId(9).build();
  private static final List<MemberData> BOTH = List.of(FIRST, SECOND);

  private final LeaseTable table = new LeaseTable(SETTINGS);

  @Test
  void shouldKeepASessionForAWholeLeaseAndTheMargin() {
    table.renew(5, 0, 0);

    assertThat(table.markExpired(List.of(FIRST), OVER_NANOS)).isEmpty();
    assertThat(table.markExpired(List.of(FIRST), OVER_NANOS + 1)).containsExactly(5L);
  }

  @Test
  void shouldOutlastTheEntrysOwnLeaseByTwiceTheMargin() {
    Duration difference = SETTINGS.overForControl().minus(SETTINGS.usableByEntry());

    assertThat(difference).isEqualTo(SETTINGS.driftMargin().multipliedBy(2));
  }

  @Test
  void shouldGiveAnUnheardSessionAWholeLease() {
    assertThat(table.markExpired(BOTH, 100)).isEmpty();
    assertThat(table.markExpired(BOTH, 100 + OVER_NANOS)).isEmpty();
  }

  @Test
  void shouldRefuseToRenewWhatIsBeingExpired() {
    table.renew(5, 0, 0);
    table.markExpired(List.of(FIRST), OVER_NANOS + 1);

    assertThat(table.renew(5, 0, OVER_NANOS + 2)).isEqualTo(LeaseTable.Renewal.REFUSED);
    assertThat(table.markExpired(List.of(FIRST), OVER_NANOS + 3)).containsExactly(5L);
  }

  @Test
  void shouldTakeAnUnheardRevisionForNotAcknowledged() {
    table.renew(5, 20, 0);

    assertThat(table.inForceRevision(20, BOTH)).isEqualTo(9);
  }

  @Test
  void shouldBeInForceOnceEverySessionAcknowledged() {
    table.renew(5, 20, 0);
    table.renew(9, 21, 0);

    assertThat(table.inForceRevision(22, BOTH)).isEqualTo(20);
  }

  @Test
  void shouldNeverTakeAnAcknowledgementBack() {
    table.renew(5, 20, 0);

    assertThat(table.renew(5, 10, 1)).isEqualTo(LeaseTable.Renewal.SAME_REVISION);
    assertThat(table.acknowledged(FIRST)).isEqualTo(20);
  }

  @Test
  void shouldExtendEveryLeaseOfALeaderThatWasSuspended() {
    table.renew(5, 0, 0);
    table.extendAll(OVER_NANOS + 1);

    assertThat(table.markExpired(List.of(FIRST), 2 * OVER_NANOS)).isEmpty();
  }
}
