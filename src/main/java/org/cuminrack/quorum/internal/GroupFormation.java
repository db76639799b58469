package org.cuminrack.quorum.internal;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Discovery of the group by replicas that are not voters, and formation of a new group. The founder
 * whose name sorts first forms the group once all other founders have reported, in reply to the
 * same round of hello messages, that they are blank.
 */
final class GroupFormation {
  private static final byte[] INITIAL_STATE = {};
  private static final int VOTER_SILENCE_ELECTION_TIMEOUTS = 2;

  private final CoreState state;
  private final Map<String, Long> blankReplicas = new TreeMap<>();
  private final Map<String, String> dataCentres = new TreeMap<>();

  /** Voters reported by founders; the founders in the settings may have left the group. */
  private final Set<String> learnedVoters = new TreeSet<>();

  /** A random number that identifies the newest round of hello messages. */
  private long round;

  private long nextHelloNanos;

  GroupFormation(CoreState state) {
    this.state = state;
    this.nextHelloNanos = state.nowNanos;
  }

  void onTick() {
    if (!isSearching()) {
      return;
    }
    if (!state.isVoter()) {
      state.leader = null;
    }
    if (state.nowNanos < nextHelloNanos) {
      return;
    }
    nextHelloNanos = state.nowNanos + state.timing.electionTimeoutMinNanos();
    blankReplicas.clear();
    round = state.random.nextLong();
    discoveryVms().stream()
        .filter(vmName -> !vmName.equals(state.self.vmName()))
        .forEach(vmName -> state.sendToVm(vmName, hello()));
    formGroupIfAllAreBlank();
  }

  private Message hello() {
    return new Message.Hello(state.isBlank(), round, state.membershipPolicy.dataCentre());
  }

  private Set<String> discoveryVms() {
    Set<String> discoveryVms = new TreeSet<>(state.membershipPolicy.founders());
    discoveryVms.addAll(learnedVoters);
    if (!state.isBlank()) {
      state.log.voters().replicas().forEach(voter -> discoveryVms.add(voter.vmName()));
    }
    return discoveryVms;
  }

  /** Returns the time of the next hello messages if no leader contacts this replica until then. */
  long nextDeadlineNanos() {
    return Math.max(nextHelloNanos, state.lastLeaderContactNanos + searchDelayNanos());
  }

  /**
   * Returns whether this replica searches for the group. A voter also searches after a long time
   * without contact from a leader: the entry that made it a voter may have been overwritten.
   */
  private boolean isSearching() {
    boolean leads = state.role == Role.LEADER;
    return !leads && state.nowNanos - state.lastLeaderContactNanos >= searchDelayNanos();
  }

  private long searchDelayNanos() {
    return state.isVoter()
        ? VOTER_SILENCE_ELECTION_TIMEOUTS * state.timing.electionTimeoutMaxNanos()
        : state.timing.electionTimeoutMinNanos();
  }

  /**
   * Replies to a replica that searches for the group. It gets the committed voter set if it is a
   * blank voter or the group is open to new VMs. A blank voter has never acknowledged an entry and
   * can take part in an election without a leader. Other replicas contact the voters too, since
   * only the leader can add them. The set is not sent before it is synced: if the VM that forms the
   * group lost it in a power loss, it could form the group a second time.
   */
  void onHello(ReplicaId from, Message.Hello hello) {
    state.send(
        from,
        new Message.HelloReply(
            state.isBlank(), hello.round(), state.membershipPolicy.dataCentre()));
    sendVoters(from, hello.blank());
  }

  private void sendVoters(ReplicaId to, boolean toIsBlank) {
    if (state.isBlank() || !state.membershipSynced) {
      return;
    }
    VoterSet committed = state.log.votersAt(state.commitIndex);
    boolean becomesVoter = toIsBlank && committed.contains(to);
    if (becomesVoter || state.membershipPolicy.openToNewVms()) {
      state.send(to, new Message.FormGroup(committed));
    }
  }

  /** A blank replica that replies may know only VMs that are gone, so it gets the voters too. */
  void onHelloReply(ReplicaId from, Message.HelloReply reply) {
    if (reply.blank()) {
      sendVoters(from, true);
    }
    if (state.isBlank() && reply.blank() && reply.round() == round) {
      blankReplicas.put(from.vmName(), from.incarnation());
      dataCentres.put(from.vmName(), reply.dataCentre());
      formGroupIfAllAreBlank();
    }
  }

  private void formGroupIfAllAreBlank() {
    Set<String> founders = state.membershipPolicy.founders();
    boolean sortsFirst = state.membershipPolicy.founders().first().equals(state.self.vmName());
    if (!state.membershipPolicy.mayFormGroup() || !sortsFirst || !state.isBlank()) {
      return;
    }
    Map<String, Long> voters = new TreeMap<>(blankReplicas);
    voters.keySet().retainAll(founders);
    if (voters.size() < founders.size() - 1) {
      return;
    }
    voters.put(state.self.vmName(), state.self.incarnation());
    dataCentres.put(state.self.vmName(), state.membershipPolicy.dataCentre());
    formGroup(state.self.incarnation(), VoterSet.of(voters, dataCentres));
  }

  void onFormGroup(long groupId, Message.FormGroup message) {
    if (state.isBlank() && message.voters().contains(state.self)) {
      formGroup(groupId, message.voters());
    } else {
      message.voters().replicas().forEach(voter -> learnedVoters.add(voter.vmName()));
    }
  }

  private void formGroup(long groupId, VoterSet voters) {
    state.installSnapshot(new SnapshotImage(0, 0, groupId, voters, INITIAL_STATE));
    state.resetElectionDeadline();
  }
}
