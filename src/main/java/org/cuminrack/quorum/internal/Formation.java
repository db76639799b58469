package org.cuminrack.quorum.internal;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * How a replica that doesn't vote finds its group, and how a first group comes to be: the first VM
 * by name forms it once all other VMs have said, in answer to one and the same question, that they
 * are blank.
 */
final class Formation {
  private static final byte[] INITIAL_STATE = {};
  private static final int VOTER_PATIENCE_ELECTION_TIMEOUTS = 2;

  private final CoreState state;
  private final Map<String, Long> blanks = new TreeMap<>();

  /** Voters that a founder has named; the founders of the settings may have left the group. */
  private final Set<String> learnedVoters = new TreeSet<>();

  private long round;
  private long nextHelloNanos;

  Formation(CoreState state) {
    this.state = state;
    this.nextHelloNanos = state.now;
  }

  void onTick() {
    if (!isLooking() || state.now < nextHelloNanos) {
      return;
    }
    nextHelloNanos = state.now + state.timing.electionMinNanos();
    blanks.clear();
    round = state.random.nextLong();
    contacts().stream()
        .filter(vmName -> !vmName.equals(state.self.vmName()))
        .forEach(vmName -> state.sendToVm(vmName, new Message.Hello(state.isBlank(), round)));
    formIfAllAreBlank();
  }

  private Set<String> contacts() {
    Set<String> contacts = new TreeSet<>(state.admission.founders());
    contacts.addAll(learnedVoters);
    if (!state.isBlank()) {
      state.log.voters().replicas().forEach(voter -> contacts.add(voter.vmName()));
    }
    return contacts;
  }

  /** Returns when to look again, unless a leader speaks before. */
  long nextDeadline() {
    return Math.max(nextHelloNanos, state.leaderContactNanos + patienceNanos());
  }

  /**
   * A voter looks too when no leader has spoken to it for long: what made it a voter may have been
   * overwritten in the meantime.
   */
  private boolean isLooking() {
    boolean leads = state.role == Role.LEADER;
    return !leads && state.now - state.leaderContactNanos >= patienceNanos();
  }

  private long patienceNanos() {
    return state.isVoter()
        ? VOTER_PATIENCE_ELECTION_TIMEOUTS * state.timing.electionMaxNanos()
        : state.timing.electionMinNanos();
  }

  /**
   * Answers a replica that looks for its group. A blank one is given the voters: if it is one of
   * them, it has never acknowledged anything and can take part in an election without a leader;
   * otherwise it asks them too, as only the leader can take it in.
   */
  void onHello(ReplicaId from, Message.Hello hello) {
    state.send(from, new Message.HelloReply(state.isBlank(), hello.round()));
    if (!hello.blank() || state.isBlank()) {
      return;
    }
    VoterSet committed = state.log.votersAt(state.commitIndex);
    if (committed.contains(from) || state.admission.open()) {
      state.send(from, new Message.Form(committed));
    }
  }

  void onHelloReply(ReplicaId from, Message.HelloReply reply) {
    if (state.isBlank() && reply.blank() && reply.round() == round) {
      blanks.put(from.vmName(), from.incarnation());
      formIfAllAreBlank();
    }
  }

  private void formIfAllAreBlank() {
    Set<String> founders = state.admission.founders();
    boolean isFirst = state.admission.founders().first().equals(state.self.vmName());
    if (!state.admission.mayForm() || !isFirst || !state.isBlank()) {
      return;
    }
    Map<String, Long> voters = new TreeMap<>(blanks);
    voters.keySet().retainAll(founders);
    if (voters.size() < founders.size() - 1) {
      return;
    }
    voters.put(state.self.vmName(), state.self.incarnation());
    form(state.self.incarnation(), VoterSet.of(voters));
  }

  void onForm(long groupId, Message.Form message) {
    if (!state.isBlank()) {
      return;
    }
    if (message.voters().contains(state.self)) {
      form(groupId, message.voters());
    } else {
      message.voters().replicas().forEach(voter -> learnedVoters.add(voter.vmName()));
    }
  }

  private void form(long groupId, VoterSet voters) {
    state.begin(new SnapshotImage(0, 0, groupId, voters, INITIAL_STATE));
    state.resetElectionDeadline();
  }
}
