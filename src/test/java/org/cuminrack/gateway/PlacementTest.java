package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.routing.EngineSpec;
import org.junit.jupiter.api.Test;

class PlacementTest {
  private static final EngineSpec ENGINE = new EngineSpec(24, 34_000, 4, true, true);
  private static final Duration TARGET = Duration.ofMillis(1_500);
  private static final PrefillWork WORK = new PrefillWork(3_000, 4_000, TARGET, TARGET, 0);
  private static final PlainWork PLAIN =
      new PlainWork(Duration.ofMillis(300), OptionalDouble.of(60));

  @Test
  void shouldSendAPlainRequestToTheLeastLoadedUpstream() {
    assertThat(
            Placement.forPlainRequest(List.of(plain("a", 3), plain("b", 1), plain("c", 2)), PLAIN)
                .map(candidate -> candidate.upstream().id()))
        .hasValue("b");
  }

  @Test
  void shouldRefuseAPlainRequestIfAllUpstreamsAreFull() {
    assertThat(Placement.forPlainRequest(List.of(plain("a", 18), plain("b", 18)), PLAIN)).isEmpty();
  }

  @Test
  void shouldChooseAnAvoidedUpstreamOnlyIfThereIsNoOther() {
    Candidate avoided = new Candidate(upstream("a"), load(0, 0, 0), true, 0, 0);

    assertThat(
            Placement.forPlainRequest(List.of(avoided, plain("b", 5)), PLAIN).get().upstream().id())
        .isEqualTo("b");
    assertThat(Placement.forPlainRequest(List.of(avoided), PLAIN).get().upstream().id())
        .isEqualTo("a");
  }

  @Test
  void shouldSendAGenerationToTheEngineWithTheMostFreeMemory() {
    assertThat(
            Placement.forGeneration(
                    List.of(engine("a", 20_000, 0), engine("b", 9_000, 0)), ENGINE, WORK)
                .get()
                .upstream()
                .id())
        .isEqualTo("b");
  }

  @Test
  void shouldRefuseAGenerationThatFitsOnNoEngine() {
    assertThat(Placement.forGeneration(List.of(engine("a", 31_000, 0)), ENGINE, WORK)).isEmpty();
  }

  @Test
  void shouldPreferAnEngineWithoutPendingPrefill() {
    Candidate prefilling = engine("a", 8_000, 6_000);
    Candidate fuller = engine("b", 16_000, 0);

    assertThat(
            Placement.forGeneration(List.of(prefilling, fuller), ENGINE, WORK)
                .get()
                .upstream()
                .id())
        .isEqualTo("b");
  }

  @Test
  void shouldChooseNoEngineWithTooMuchPendingPrefill() {
    assertThat(Placement.forGeneration(List.of(engine("a", 9_000, 7_000)), ENGINE, WORK)).isEmpty();
  }

  @Test
  void shouldPreferAMoveWithinTheDataCentre() {
    Candidate near = engine("near", 20_000, 0);
    Candidate far =
        new Candidate(
            new UpstreamRecord(
                "far", "shop", "10.0.0.2:80", "dc-b", 6, UpstreamPhase.READY, 1, 1, 0, 0),
            load(0, 0, 0),
            false,
            0,
            0);

    assertThat(Placement.forMove(List.of(far, near), "dc-a", ENGINE, 4_000).get().upstream().id())
        .isEqualTo("near");
    assertThat(Placement.forMove(List.of(far), "dc-a", ENGINE, 4_000).get().upstream().id())
        .isEqualTo("far");
  }

  @Test
  void shouldSpreadConcurrentChoicesOfGateways() {
    Set<String> chosen = new HashSet<>();
    Random random = new Random(7);
    for (int gateway = 0; gateway < 20; gateway++) {
      List<Candidate> equal =
          Stream.of("a", "b", "c", "d")
              .map(id -> new Candidate(upstream(id), load(0, 0, 0), false, 0, random.nextDouble()))
              .toList();
      chosen.add(Placement.forGeneration(equal, ENGINE, WORK).get().upstream().id());
    }

    assertThat(chosen).containsExactly("a", "b", "c", "d");
  }

  @Test
  void shouldLetJitterDecideOnlyBetweenSimilarLoads() {
    Candidate full = new Candidate(upstream("full"), load(4, 16_000, 0), false, 0, 0);
    Candidate free = new Candidate(upstream("free"), load(2, 8_000, 0), false, 0, 1);

    assertThat(Placement.forGeneration(List.of(full, free), ENGINE, WORK).get().upstream().id())
        .isEqualTo("free");
  }

  @Test
  void shouldPlaceABackupOnAnotherEngineOnly() {
    Candidate running = engine("a", 4_000, 0);

    assertThat(Placement.forBackup(List.of(running), "a", ENGINE, 4_000)).isEmpty();
    assertThat(
            Placement.forBackup(List.of(running, engine("b", 9_000, 0)), "a", ENGINE, 4_000)
                .get()
                .upstream()
                .id())
        .isEqualTo("b");
  }

  @Test
  void shouldPlaceNoBackupOnANearlyFullEngine() {
    assertThat(Placement.forBackup(List.of(engine("b", 29_000, 0)), "a", ENGINE, 4_000)).isEmpty();
  }

  private static Candidate plain(String id, int requests) {
    return new Candidate(upstream(id), load(requests, 0, 0), false, 0, 0);
  }

  private static Candidate engine(String id, long tokens, long pendingPrefillTokens) {
    return new Candidate(upstream(id), load(2, tokens, pendingPrefillTokens), false, 0, 0);
  }

  private static UpstreamLoad load(int requests, long tokens, long pendingPrefillTokens) {
    return new UpstreamLoad(requests, tokens, pendingPrefillTokens);
  }

  private static UpstreamRecord upstream(String id) {
    return new UpstreamRecord(
        id, "shop", "10.0.0.1:80", "dc-a", 6, UpstreamPhase.READY, 1, 1, 0, 0);
  }
}
