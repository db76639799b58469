package org.cuminrack.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class UpstreamChangesTest {
  private static final Duration LIMIT = Duration.ofMillis(1800);

  private final UpstreamTable table = new UpstreamTable();

  @Test
  void shouldTellLongTableInPartsWithoutGaps() {
    announce(300, 1, 0);
    Set<String> told = new HashSet<>();
    UpstreamChanges part = table.toTellAfter(0, 128, 1024);
    int parts = 1;

    part.changed().forEach(upstream -> told.add(upstream.id()));
    while (!part.complete()) {
      part = table.toTellAfter(part.change(), 128, 1024);
      part.changed().forEach(upstream -> told.add(upstream.id()));
      parts++;
    }

    assertThat(told).hasSize(300);
    assertThat(parts).isEqualTo(3);
  }

  @Test
  void shouldNotTellRenewals() {
    announce(5, 1, 0);
    long known = table.lastChange();

    announce(5, 2, 1200);

    assertThat(table.toTellAfter(known, 128, 1024).changed()).isEmpty();
    assertThat(table.changedAfter(known)).hasSize(5);
  }

  @Test
  void shouldTellLateUpstreamOnceAndAgainWhenItIsHeardOf() {
    announce(2, 1, 0);
    long known = table.lastChange();

    assertThat(table.markLate(LIMIT, nanos(1900))).isTrue();
    assertThat(table.markLate(LIMIT, nanos(2100))).isFalse();
    UpstreamChanges late = table.toTellAfter(known, 128, 1024);
    announce(1, 2, 2200);

    assertThat(late.late()).hasSize(2);
    assertThat(late.changed()).isEmpty();
    UpstreamChanges heardAgain = table.toTellAfter(late.change(), 128, 1024);
    assertThat(heardAgain.changed()).hasSize(1);
    assertThat(heardAgain.late()).isEmpty();
  }

  private void announce(int count, long sequence, long atMillis) {
    for (int i = 0; i < count; i++) {
      table.merge(
          new UpstreamRecord(
              "i-" + i,
              "pool",
              "10.0.0." + i + ":80",
              "dc-a",
              6,
              UpstreamPhase.READY,
              100,
              sequence,
              0,
              nanos(atMillis)));
    }
  }

  private static long nanos(long millis) {
    return Duration.ofMillis(millis).toNanos();
  }
}
