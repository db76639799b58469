package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.pace.Pace;
import org.cuminrack.routing.EngineSpec;
import org.junit.jupiter.api.Test;

class PacePlacementTest {
  private static final EngineSpec ENGINE = new EngineSpec(24, 27_000, 4, true, true);
  private static final Duration TARGET = Duration.ofMillis(1_500);
  private static final PrefillWork GENERATION = new PrefillWork(3_000, 3_400, TARGET, TARGET, 0);
  private static final PlainWork PLAIN =
      new PlainWork(Duration.ofMillis(125), OptionalDouble.of(20));

  @Test
  void shouldChooseThePlainUpstreamThatIsExpectedToAnswerFirst() {
    List<Candidate> candidates = List.of(plain("slow", 1, 1.7, 0.5), plain("fast", 4, 0.7, 0.5));

    assertThat(chosen(Placement.forPlainRequest(candidates, PLAIN))).isEqualTo("fast");
  }

  @Test
  void shouldUseASlowUpstreamOnceTheFastOnesHaveAQueue() {
    List<Candidate> candidates = List.of(plain("slow", 0, 1.7, 0.5), plain("fast", 12, 0.7, 0.5));

    assertThat(chosen(Placement.forPlainRequest(candidates, PLAIN))).isEqualTo("slow");
  }

  @Test
  void shouldGiveASlowUpstreamASmallShare() {
    Random random = new Random(3);
    int slow = 0;
    for (int i = 0; i < 2_000; i++) {
      List<Candidate> candidates =
          List.of(
              plain("slow", 1, 1.7, random.nextDouble()),
              plain("fast", 1, 0.7, random.nextDouble()),
              plain("fast-2", 1, 0.7, random.nextDouble()));
      if (chosen(Placement.forPlainRequest(candidates, PLAIN)).equals("slow")) {
        slow++;
      }
    }

    assertThat(slow / 2_000.0).isWithin(0.02).of(0.08);
  }

  @Test
  void shouldProbeASlowEngineNowAndThen() {
    assertThat(chosen(Placement.forGeneration(slowAndFast(0.5), ENGINE, GENERATION)))
        .isEqualTo("fast");
    assertThat(chosen(Placement.forGeneration(slowAndFast(0.01), ENGINE, GENERATION)))
        .isEqualTo("slow");
  }

  private static List<Candidate> slowAndFast(double jitterOfSlow) {
    Candidate slow =
        new Candidate(
            upstream("slow", "dc-a"),
            load(2, 6_000, 0),
            false,
            0,
            jitterOfSlow,
            new Pace(1.7, 20),
            false);
    return List.of(slow, engine("fast", 9_000, 600, 0.7));
  }

  @Test
  void shouldIgnoreAPaceOfTooFewSamples() {
    Candidate unknown =
        new Candidate(upstream("a", "dc-a"), load(0, 0, 0), false, 0, 0.5, new Pace(5, 2), false);

    assertThat(chosen(Placement.forPlainRequest(List.of(unknown, plain("b", 1, 1, 0.5)), PLAIN)))
        .isEqualTo("a");
  }

  @Test
  void shouldChooseAsWithoutPacesWhereTheyDifferLittle() {
    Random random = new Random(5);
    for (int round = 0; round < 2_000; round++) {
      List<Candidate> plain = new ArrayList<>();
      List<Candidate> usual = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        UpstreamRecord upstream = upstream("i-" + i, "dc-a");
        UpstreamLoad load = load(random.nextInt(19), random.nextInt(27_000), random.nextInt(7_000));
        double jitter = random.nextDouble();
        Pace pace = new Pace(0.85 + 0.3 * random.nextDouble(), 50);
        plain.add(new Candidate(upstream, load, false, 0, jitter, pace, false));
        usual.add(new Candidate(upstream, load, false, 0, jitter));
      }

      assertThat(chosen(Placement.forPlainRequest(plain, PLAIN)))
          .isEqualTo(chosen(Placement.forPlainRequest(usual, PLAIN)));
      assertThat(chosen(Placement.forGeneration(plain, ENGINE, GENERATION)))
          .isEqualTo(chosen(Placement.forGeneration(usual, ENGINE, GENERATION)));
    }
  }

  @Test
  void shouldTakeASlowUpstreamForFullSoonerAndAFastOneNotLater() {
    List<Candidate> candidates = List.of(plain("slow", 11, 1.7, 0.5), plain("fast", 18, 0.5, 0.5));

    assertThat(chosen(Placement.forPlainRequest(candidates, PLAIN))).isEqualTo("none");
  }

  @Test
  void shouldPreferAnEngineThatPrefillsSooner() {
    List<Candidate> candidates =
        List.of(engine("slow", 6_000, 0, 1.7), engine("fast", 9_000, 600, 0.7));

    assertThat(chosen(Placement.forGeneration(candidates, ENGINE, GENERATION))).isEqualTo("fast");
  }

  @Test
  void shouldTakeASlowEngineForFullSoonerThanAFastOne() {
    assertThat(
            Placement.forGeneration(List.of(engine("slow", 9_000, 4_500, 1.7)), ENGINE, GENERATION))
        .isEmpty();
    assertThat(
            chosen(
                Placement.forGeneration(
                    List.of(engine("slow", 9_000, 4_500, 1.7), engine("fast", 9_000, 8_000, 0.7)),
                    ENGINE,
                    GENERATION)))
        .isEqualTo("fast");
  }

  @Test
  void shouldAvoidEnginesOnWhichTheGapsWouldExceedTheTarget() {
    PrefillWork longGaps = new PrefillWork(3_000, 3_400, TARGET, TARGET, 0.5);
    List<Candidate> candidates =
        List.of(engine("slow", 4_000, 0, 1.7), engine("fast", 16_500, 0, 0.8));

    assertThat(chosen(Placement.forGeneration(candidates, ENGINE, GENERATION))).isEqualTo("slow");
    assertThat(chosen(Placement.forGeneration(candidates, ENGINE, longGaps))).isEqualTo("fast");
  }

  @Test
  void shouldPreferTheOwnDataCentreIfLoadsAreEqual() {
    List<Candidate> plain = List.of(plainFar("far", 3, 0), plain("near", 3, 1, 1));
    List<Candidate> engines = List.of(engineFar("far", 4_000), engine("near", 4_000, 0, 1));

    assertThat(chosen(Placement.forPlainRequest(plain, PLAIN))).isEqualTo("near");
    assertThat(chosen(Placement.forGeneration(engines, ENGINE, GENERATION))).isEqualTo("near");
  }

  @Test
  void shouldCrossIfTheWaitInTheOwnDataCentreIsLonger() {
    List<Candidate> plain = List.of(plainFar("far", 3, 0.5), plain("near", 5, 1, 0.5));
    List<Candidate> engines = List.of(engineFar("far", 4_000), engine("near", 7_500, 0, 1));

    assertThat(chosen(Placement.forPlainRequest(plain, PLAIN))).isEqualTo("far");
    assertThat(chosen(Placement.forGeneration(engines, ENGINE, GENERATION))).isEqualTo("far");
  }

  @Test
  void shouldSayWhyADataCentreWasChosen() {
    Candidate near = plain("near", 0, 1, 0.5);
    Candidate far = plainFar("far", 0, 0.5);

    assertThat(DataCentreChoice.of(near, List.of(near, far)).label()).isEqualTo("near");
    assertThat(DataCentreChoice.of(far, List.of(near, far)).label()).isEqualTo("far-faster");
    assertThat(DataCentreChoice.of(far, List.of(far)).label()).isEqualTo("far-only");
  }

  private static String chosen(Optional<Candidate> candidate) {
    return candidate.map(each -> each.upstream().id()).orElse("none");
  }

  private static Candidate plain(String id, int requests, double slowdown, double jitter) {
    return new Candidate(
        upstream(id, "dc-a"),
        load(requests, 0, 0),
        false,
        0,
        jitter,
        new Pace(slowdown, 20),
        false);
  }

  private static Candidate plainFar(String id, int requests, double jitter) {
    return new Candidate(
        upstream(id, "dc-b"), load(requests, 0, 0), false, 0, jitter, Pace.USUAL, true);
  }

  private static Candidate engine(String id, long tokens, long pendingTokens, double slowdown) {
    return new Candidate(
        upstream(id, "dc-a"),
        load(2, tokens, pendingTokens),
        false,
        0,
        0.5,
        new Pace(slowdown, 20),
        false);
  }

  private static Candidate engineFar(String id, long tokens) {
    return new Candidate(upstream(id, "dc-b"), load(2, tokens, 0), false, 0, 0.5, Pace.USUAL, true);
  }

  private static UpstreamLoad load(int requests, long tokens, long pendingPrefillTokens) {
    return new UpstreamLoad(requests, tokens, pendingPrefillTokens);
  }

  private static UpstreamRecord upstream(String id, String dataCentre) {
    return new UpstreamRecord(
        id, "shop", "10.0.0.1:80", dataCentre, 6, UpstreamPhase.READY, 1, 1, 0, 0);
  }
}
