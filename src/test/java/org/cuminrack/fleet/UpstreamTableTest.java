package org.cuminrack.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class UpstreamTableTest {
  private final UpstreamTable table = new UpstreamTable();

  @Test
  void shouldAddNewUpstream() {
    assertThat(table.merge(ready("i-1", "10.0.0.1:80", 100, 1)))
        .isEqualTo(UpstreamChange.ROUTING_CHANGED);
    assertThat(table.ofService("shop")).hasSize(1);
  }

  @Test
  void shouldReportRenewalWithoutRoutingChange() {
    table.merge(ready("i-1", "10.0.0.1:80", 100, 1));

    assertThat(table.merge(ready("i-1", "10.0.0.1:80", 100, 2))).isEqualTo(UpstreamChange.RENEWED);
  }

  @Test
  void shouldIgnoreEarlierAnnouncementOfSameIncarnation() {
    table.merge(draining("i-1", "10.0.0.1:80", 100, 5));

    assertThat(table.merge(ready("i-1", "10.0.0.1:80", 100, 4))).isEqualTo(UpstreamChange.STALE);
    assertThat(table.find("i-1").get().phase()).isEqualTo(UpstreamPhase.DRAINING);
  }

  @Test
  void shouldAcceptNewIncarnationWhoseSequenceRestarts() {
    table.merge(ready("i-1", "10.0.0.1:80", 100, 50));

    assertThat(table.merge(ready("i-1", "10.0.0.1:80", 200, 1)))
        .isEqualTo(UpstreamChange.ROUTING_CHANGED);
  }

  @Test
  void shouldIgnoreLateAnnouncementOfSupersededUpstreamAtAddress() {
    table.merge(ready("i-2", "10.0.0.1:80", 200, 1));

    assertThat(table.merge(ready("i-1", "10.0.0.1:80", 100, 9))).isEqualTo(UpstreamChange.STALE);
  }

  @Test
  void shouldMarkPredecessorAtSameAddressAsLeft() {
    table.merge(ready("i-1", "10.0.0.1:80", 100, 1));
    table.merge(ready("i-2", "10.0.0.1:80", 200, 1));

    assertThat(table.find("i-1").get().phase()).isEqualTo(UpstreamPhase.LEFT);
    assertThat(table.ofService("shop").stream().map(UpstreamRecord::id).toList())
        .containsExactly("i-2");
  }

  @Test
  void shouldNotReviveUpstreamThatHasLeft() {
    UpstreamRecord ready = ready("i-1", "10.0.0.1:80", 100, 3);
    table.merge(ready);
    table.merge(ready.withPhase(UpstreamPhase.LEFT));

    assertThat(table.merge(ready("i-1", "10.0.0.1:80", 100, 4))).isEqualTo(UpstreamChange.STALE);
    assertThat(table.ofService("shop")).isEmpty();
  }

  @Test
  void shouldReturnOnlyLaterChanges() {
    table.merge(ready("i-1", "10.0.0.1:80", 100, 1));
    long lastKnownChange = table.lastChange();
    table.merge(ready("i-2", "10.0.0.2:80", 100, 1));

    assertThat(table.changedAfter(lastKnownChange).stream().map(UpstreamRecord::id).toList())
        .containsExactly("i-2");
  }

  @Test
  void shouldConvergeRegardlessOfAnnouncementOrder() {
    List<UpstreamRecord> announcements =
        List.of(
            ready("i-1", "10.0.0.1:80", 100, 1),
            draining("i-1", "10.0.0.1:80", 100, 2),
            ready("i-2", "10.0.0.1:80", 200, 1));
    UpstreamTable reversed = new UpstreamTable();
    announcements.forEach(table::merge);
    for (int i = announcements.size() - 1; i >= 0; i--) {
      reversed.merge(announcements.get(i));
    }

    assertThat(reversed.ofService("shop")).containsExactlyElementsIn(table.ofService("shop"));
  }

  private static UpstreamRecord ready(
      String id, String address, long startedMillis, long sequence) {
    return new UpstreamRecord(
        id, "shop", address, "dc-a", 6, UpstreamPhase.READY, startedMillis, sequence, 0, 0);
  }

  private static UpstreamRecord draining(
      String id, String address, long startedMillis, long sequence) {
    return ready(id, address, startedMillis, sequence).withPhase(UpstreamPhase.DRAINING);
  }
}
