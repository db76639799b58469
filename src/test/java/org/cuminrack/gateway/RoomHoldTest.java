package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.routing.EngineSpec;
import org.junit.jupiter.api.Test;

class RoomHoldTest {
  private static final EngineSpec ENGINE = new EngineSpec(24, 10_000, 4, true, true);

  private static final Duration TARGET = Duration.ofMillis(1_500);

  private static final UpstreamRecord UPSTREAM =
      new UpstreamRecord("a", "llm", "10.0.0.1:80", "dc-a", 24, UpstreamPhase.READY, 1, 1, 0, 0);

  @Test
  void shouldKeepMemoryOfTheEmptiestEngine() {
    List<Candidate> engines = engines(9_000, 5_000, 8_000);

    assertThat(RoomHold.choose(engines, ENGINE, 6_000).get()).isEqualTo(engines.get(1));
  }

  @Test
  void shouldKeepMemoryOfOneEngineInEightAtMost() {
    assertThat(RoomHold.choose(engines(12_000, 5_000, 8_000), ENGINE, 6_000)).isEmpty();
  }

  @Test
  void shouldNotKeepMoreThanAnEngineHas() {
    assertThat(RoomHold.choose(engines(0, 0), ENGINE, 10_000)).isEmpty();
  }

  @Test
  void shouldBeFreeOnceEverythingReservedFits() {
    assertThat(RoomHold.isFree(new UpstreamLoad(3, 9_800, 0), ENGINE, TARGET)).isFalse();
    assertThat(RoomHold.isFree(new UpstreamLoad(3, 9_700, 0), ENGINE, TARGET)).isTrue();
    assertThat(RoomHold.isFree(new UpstreamLoad(3, 9_700, 7_000), ENGINE, TARGET)).isFalse();
    assertThat(RoomHold.isFree(new UpstreamLoad(25, 9_700, 0), ENGINE, TARGET)).isFalse();
  }

  @Test
  void shouldCountTheGenerationsThatFit() {
    List<Candidate> engines = engines(9_000, 3_000, 6_700);

    assertThat(FreePlaces.forGenerations(engines, ENGINE, 3_000, TARGET, 10)).isEqualTo(3);
    assertThat(FreePlaces.forGenerations(engines, ENGINE, 3_000, TARGET, 2)).isEqualTo(2);
    assertThat(FreePlaces.forGenerations(engines, ENGINE, 7_000, TARGET, 10)).isEqualTo(0);
  }

  private static List<Candidate> engines(long... reservedTokens) {
    List<Candidate> engines = new ArrayList<>();
    for (long reserved : reservedTokens) {
      engines.add(new Candidate(UPSTREAM, new UpstreamLoad(3, reserved, 0), false, 0, 0));
    }
    return engines;
  }
}
