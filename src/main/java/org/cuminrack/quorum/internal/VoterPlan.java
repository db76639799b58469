package org.cuminrack.quorum.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cuminrack.quorum.LossTolerance;

/**
 * Decides how the leader of an open group changes the voters: adds voters until the group tolerates
 * the losses that it has to, replaces lost voters, and spreads voters over data centres. Prefers
 * the replica that leaves the fewest voters in any data centres that may be lost together.
 */
final class VoterPlan {
  private final MembershipPolicy policy;
  private final ReplicaId self;
  private final VoterSet voters;
  private final Map<ReplicaId, String> dataCentreByCandidate =
      new TreeMap<>(Comparator.comparing(ReplicaId::toString));

  /**
   * Creates a plan.
   *
   * @param self the leader, which is not replaced
   * @param voters the voters, which must not be joint
   * @param dataCentreByCandidate data centres of replicas that may become voters
   */
  VoterPlan(
      MembershipPolicy policy,
      ReplicaId self,
      VoterSet voters,
      Map<ReplicaId, String> dataCentreByCandidate) {
    this.policy = policy;
    this.self = self;
    this.voters = voters;
    this.dataCentreByCandidate.putAll(dataCentreByCandidate);
  }

  /**
   * Returns the joint set of the next change; empty if no change is due.
   *
   * @param lostVoters the voters that have been silent for long
   */
  Optional<VoterSet> nextVoters(Set<ReplicaId> lostVoters) {
    if (dataCentreByCandidate.isEmpty()) {
      return Optional.empty();
    }
    return Stream.<Optional<VoterSet>>of(
            withMoreVoters(), replacingAnyOf(lostVoters::contains), spreadOverDataCentres())
        .flatMap(Optional::stream)
        .findFirst();
  }

  /**
   * Adds voters up to the number that the tolerance needs. The number stays odd, since one more
   * than an odd number needs one more for a majority and tolerates no further loss.
   */
  private Optional<VoterSet> withMoreVoters() {
    int size = Math.min(tolerance().voterCount(), voters.size() + dataCentreByCandidate.size());
    int oddSize = size % 2 == 0 ? size - 1 : size;
    if (oddSize <= voters.size()) {
      return Optional.empty();
    }
    VoterSet more = voters;
    List<ReplicaId> left = new ArrayList<>(dataCentreByCandidate.keySet());
    while (more.size() < oddSize) {
      VoterSet base = more;
      ReplicaId next =
          left.stream()
              .min(Comparator.comparing(candidate -> spread(add(base, candidate))))
              .orElseThrow();
      more = add(more, next);
      left.remove(next);
    }
    return Optional.of(more);
  }

  private VoterSet add(VoterSet base, ReplicaId candidate) {
    return base.adding(candidate, dataCentreByCandidate.get(candidate));
  }

  private Optional<VoterSet> replacingAnyOf(Predicate<ReplicaId> isReplaceable) {
    List<ReplicaId> replaceable =
        voters.replicas().stream().filter(isReplaceable.and(voter -> !voter.equals(self))).toList();
    return replaceable.stream()
        .flatMap(voter -> dataCentreByCandidate.keySet().stream().map(each -> replace(voter, each)))
        .min(Comparator.comparing(this::spread));
  }

  private VoterSet replace(ReplicaId voter, ReplicaId candidate) {
    return voters.replacing(voter.vmName(), candidate, dataCentreByCandidate.get(candidate));
  }

  /** Moves a voter to another data centre if the loss of data centres would take the majority. */
  private Optional<VoterSet> spreadOverDataCentres() {
    if (tolerance().majoritySurvivesDataCentreLosses(voters.voterDataCentres())) {
      return Optional.empty();
    }
    return replacingAnyOf(voter -> true)
        .filter(changed -> spread(changed).compareTo(spread(voters)) < 0);
  }

  private LossTolerance tolerance() {
    return policy.tolerance();
  }

  private Integer spread(VoterSet set) {
    return tolerance().votersInLostDataCentres(set.voterDataCentres());
  }
}
