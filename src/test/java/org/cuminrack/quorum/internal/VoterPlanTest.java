package org.cuminrack.quorum.internal;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cuminrack.quorum.LossTolerance;
import org.junit.jupiter.api.Test;

/** VM names start with the letter of their data centre. */
class VoterPlanTest {
  private static final LossTolerance ONE = new LossTolerance(1, 1);
  private static final LossTolerance TWO = new LossTolerance(2, 1);

  @Test
  void shouldChangeNothingForThreeVotersInThreeDataCentres() {
    assertThat(next(ONE, List.of("a1", "b1", "c1"), List.of("a2", "d1"), Set.of())).isEmpty();
  }

  @Test
  void shouldChangeNothingWithoutCandidates() {
    assertThat(next(TWO, List.of("a1", "b1", "c1"), List.of(), Set.of("c1"))).isEmpty();
  }

  @Test
  void shouldAddAsManyVotersAsTwoLossesNeed() {
    assertThat(
            next(TWO, List.of("a1", "b1", "c1"), List.of("d1", "e1", "f1"), Set.of()).orElseThrow())
        .hasSize(5);
  }

  @Test
  void shouldAddVotersInOtherDataCentresFirst() {
    assertThat(next(TWO, List.of("a1", "b1", "c1"), List.of("a2", "a3", "d1", "e1"), Set.of()))
        .hasValue(Set.of("a1", "b1", "c1", "d1", "e1"));
  }

  @Test
  void shouldNotAddAThirdVoterInADataCentre() {
    assertThat(next(TWO, List.of("a1", "b1", "c1"), List.of("a2", "a3", "b2"), Set.of()))
        .hasValue(Set.of("a1", "a2", "b1", "b2", "c1"));
  }

  @Test
  void shouldNotAddASingleVoterThatOnlyEnlargesTheMajority() {
    assertThat(next(TWO, List.of("a1", "b1", "c1"), List.of("d1"), Set.of())).isEmpty();
    assertThat(next(TWO, List.of("a1", "b1", "c1"), List.of("a2"), Set.of())).isEmpty();
    assertThat(next(ONE, List.of("a1"), List.of("b1"), Set.of())).isEmpty();
  }

  @Test
  void shouldAddTwoVotersOnTheWayToSeven() {
    LossTolerance three = new LossTolerance(3, 1);

    assertThat(
            next(three, List.of("a1", "b1", "c1"), List.of("d1", "e1", "f1"), Set.of())
                .orElseThrow())
        .hasSize(5);
  }

  @Test
  void shouldReplaceALostVoterByOneThatKeepsAMajorityOutsideOfEachDataCentre() {
    assertThat(next(ONE, List.of("a1", "b1", "c1"), List.of("a2", "b2", "c2"), Set.of("c1")))
        .hasValue(Set.of("a1", "b1", "c2"));
  }

  @Test
  void shouldReplaceALostVoterEvenIfOnlyALargeDataCentreHasCandidates() {
    assertThat(next(ONE, List.of("a1", "b1", "c1"), List.of("b2"), Set.of("c1")))
        .hasValue(Set.of("a1", "b1", "b2"));
  }

  @Test
  void shouldSpreadVotersThatADataCentreWouldTakeAway() {
    Set<String> changed =
        next(ONE, List.of("a1", "a2", "b1"), List.of("b2", "c1"), Set.of()).orElseThrow();

    assertThat(changed).isEqualTo(Set.of("a1", "b1", "c1"));
  }

  @Test
  void shouldNeverReplaceTheLeaderToSpreadVoters() {
    for (String leader : List.of("a1", "a2")) {
      Set<String> changed =
          next(ONE, leader, List.of("a1", "a2", "b1"), List.of("c1"), Set.of()).orElseThrow();

      assertThat(changed).containsExactly(leader, "b1", "c1");
    }
  }

  @Test
  void shouldNotMoveVotersThatCannotBeSpreadFurther() {
    assertThat(next(ONE, List.of("a1", "a2", "b1"), List.of("a3", "b2"), Set.of())).isEmpty();
  }

  private static Optional<Set<String>> next(
      LossTolerance tolerance, List<String> voters, List<String> candidates, Set<String> lost) {
    return next(tolerance, voters.get(0), voters, candidates, lost);
  }

  private static Optional<Set<String>> next(
      LossTolerance tolerance,
      String leader,
      List<String> voters,
      List<String> candidates,
      Set<String> lost) {
    Map<String, Long> incarnations = new TreeMap<>();
    Map<String, String> dataCentres = new TreeMap<>();
    for (String voter : voters) {
      incarnations.put(voter, 1L);
      dataCentres.put(voter, voter.substring(0, 1));
    }
    Map<ReplicaId, String> dataCentreByCandidate = new HashMap<>();
    candidates.forEach(each -> dataCentreByCandidate.put(replica(each), each.substring(0, 1)));
    VoterPlan plan =
        new VoterPlan(
            new MembershipPolicy(voters, true, true, tolerance, ""),
            replica(leader),
            VoterSet.of(incarnations, dataCentres),
            dataCentreByCandidate);
    Set<ReplicaId> lostVoters = new HashSet<>();
    lost.forEach(voter -> lostVoters.add(replica(voter)));
    return plan.nextVoters(lostVoters).map(joint -> joint.completed().incarnations().keySet());
  }

  private static ReplicaId replica(String name) {
    return new ReplicaId(name, 1);
  }
}
