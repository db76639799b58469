package org.cuminrack.fairshare;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Load: plain requests of 57 ms with a target of 303 ms at four upstreams with six slots and three
 * requests a slot.
 */
class PlainBurstTest {
  private static final Duration TARGET = Duration.ofMillis(303);
  private static final Duration WORK = Duration.ofMillis(171);

  private final SharedEngines upstreams = new SharedEngines(6, 4, 18, organisation -> 1);

  @Test
  void shouldServeAShortBurstAfterAWait() {
    // 72 places for 171 ms each: 100 requests within 40 ms exceed them.
    for (int i = 0; i < 40; i++) {
      for (int each = 0; each < 25 && i < 4; each++) {
        upstreams.send(each % 6, new Claimant("org-" + each, 2), 1, WORK, TARGET);
      }
      upstreams.step();
    }

    assertThat(placed()).isEqualTo(100);
    List<Long> waits =
        upstreams.requests.stream().map(SharedEngines.Request::waitMillis).sorted().toList();
    assertThat(waits.get(waits.size() - 1)).isAtMost(TARGET.toMillis());
    assertThat(waits.get(waits.size() / 2)).isEqualTo(0);
  }

  @Test
  void shouldRefuseAtOnceWhatALongOverloadLeavesNoPlaceFor() {
    // 800 requests a second for 421 places a second.
    for (int i = 0; i < 500; i++) {
      for (int each = 0; each < 8; each++) {
        Claimant claimant = new Claimant("org-" + (i + each) % 24, 2);
        upstreams.send(upstreams.random.nextInt(6), claimant, 1, WORK, TARGET);
      }
      upstreams.step();
    }

    List<SharedEngines.Request> refused =
        upstreams.requests.stream().filter(request -> !request.isPlaced()).toList();
    long atOnce = refused.stream().filter(each -> each.entry.queuedFor().isZero()).count();
    assertThat((double) atOnce / refused.size()).isAtLeast(0.5);
    assertThat(placed()).isAtLeast((long) (0.9 * 421 * 5));
  }

  private long placed() {
    return upstreams.requests.stream().filter(SharedEngines.Request::isPlaced).count();
  }
}
