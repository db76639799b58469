package org.cuminrack.rollout;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cuminrack.rollout.PlayedRollout.Answer;
import org.cuminrack.rollout.PlayedRollout.Version;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RolloutDecisionTest {
  private static final int SEEDS = 200;
  private static final Version GOOD = (random, seconds, route, load) -> Answer.GOOD;

  private static Answer failing(Random random, double share) {
    return random.nextDouble() < share ? new Answer(true, 1) : Answer.GOOD;
  }

  private static Answer slow(Random random, double share) {
    return random.nextDouble() < share ? new Answer(false, 4) : Answer.GOOD;
  }

  @ParameterizedTest
  @CsvSource({"40, 8", "40, 30", "88, 12", "200, 8", "200, 30"})
  void shouldCatchBadVersionWithinItsExposure(int requestsPerSecond, int seconds) {
    List<String> misses = new ArrayList<>();
    for (int seed = 1; seed <= SEEDS; seed++) {
      check(misses, "at once", seed, requestsPerSecond, seconds, (r, s, o, l) -> failing(r, 0.4));
      check(
          misses,
          "later",
          seed,
          requestsPerSecond,
          seconds,
          (r, s, o, l) -> s < 0.3 * seconds ? Answer.GOOD : failing(r, 0.5));
      check(
          misses,
          "on one route",
          seed,
          requestsPerSecond,
          seconds,
          (r, s, o, l) -> o.equals("order") ? failing(r, 0.6) : Answer.GOOD);
      check(misses, "slow", seed, requestsPerSecond, seconds, (r, s, o, l) -> slow(r, 0.6));
      check(
          misses,
          "under load",
          seed,
          requestsPerSecond,
          seconds,
          (r, s, o, l) -> l > 0.5 ? failing(r, 0.5) : Answer.GOOD);
    }
    assertWithMessage("missed: %s", misses).that(misses.size()).isEqualTo(0);
  }

  private static void check(
      List<String> misses, String kind, int seed, int perSecond, int seconds, Version version) {
    PlayedRollout played = new PlayedRollout(seed, perSecond, seconds, 0.01, version).play();
    boolean caught =
        played.rollout().stage() == RolloutStage.ROLLED_BACK
            && played.sentToNew() <= played.permitted();
    if (!caught) {
      misses.add(kind + " " + seed + ": " + played + "\n");
    }
  }

  @ParameterizedTest
  @CsvSource({
    "40, 8, 0.01",
    "40, 30, 0.05",
    "88, 12, 0.01",
    "88, 12, 0.05",
    "200, 8, 0.01",
    "200, 30, 0.1"
  })
  void shouldFinishGoodVersionInTime(int requestsPerSecond, int seconds, double usualFailures) {
    List<String> misses = new ArrayList<>();
    for (int seed = 1; seed <= SEEDS; seed++) {
      PlayedRollout played =
          new PlayedRollout(seed, requestsPerSecond, seconds, usualFailures, GOOD).play();
      if (played.rollout().stage() != RolloutStage.DONE) {
        misses.add(seed + ": " + played + "\n");
      }
    }
    assertWithMessage("missed: %s", misses).that(misses.size()).isAtMost(SEEDS / 100);
  }
}
