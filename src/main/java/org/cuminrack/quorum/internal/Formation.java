package org.cuminrack.quorum.internal;

import java.util.Map;
import java.util.TreeMap;

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
    for (String vmName : state.vmNames) {
      if (!vmName.equals(state.self.vmName())) {
        state.sendToVm(vmName, new Message.Hello(state.isBlank(), round));
      }
    }
    formIfAllAreBlank();
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
   * Answers a replica that looks for its group. A blank one that is a voter has never acknowledged
   * anything; it is given the voters, so that it can take part in an election without a leader.
   */
  void onHello(ReplicaId from, Message.Hello hello) {
    state.send(from, new Message.HelloReply(state.isBlank(), hello.round()));
    if (!hello.blank() || state.isBlank()) {
      return;
    }
    VoterSet committed = state.log.votersAt(state.commitIndex);
    if (committed.contains(from)) {
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
    boolean isFirst = state.vmNames.first().equals(state.self.vmName());
    if (!isFirst || !state.isBlank() || blanks.size() < state.vmNames.size() - 1) {
      return;
    }
    Map<String, Long> voters = new TreeMap<>(blanks);
    voters.put(state.self.vmName(), state.self.incarnation());
    form(state.self.incarnation(), VoterSet.of(voters));
  }

  void onForm(long groupId, Message.Form message) {
    if (state.isBlank() && message.voters().contains(state.self)) {
      form(groupId, message.voters());
    }
  }

  private void form(long groupId, VoterSet voters) {
    state.begin(new SnapshotImage(0, 0, groupId, voters, INITIAL_STATE));
    state.resetElectionDeadline();
  }
}
