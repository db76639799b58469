package org.cuminrack.quorum.internal;

import java.util.HashSet;
import java.util.Set;

/** Pre-vote and vote. A replica that is blank neither asks for votes nor gives one. */
final class Elections {
  private static final int FULL_DISK_ELECTION_TIMEOUTS = 4;

  private final CoreState state;
  private final Set<ReplicaId> granted = new HashSet<>();
  private long ownVoteSequence;
  private long nextQuestionNanos;
  private long yieldedNanos = Long.MIN_VALUE;

  Elections(CoreState state) {
    this.state = state;
  }

  /** Begins a pre-vote if no leader was heard of for long enough. */
  void onTick() {
    if (state.role == Role.LEADER || !state.isVoter()) {
      return;
    }
    if (state.now >= state.electionDeadline && !leavesItToOthers()) {
      beginPreVote();
    } else if (state.now >= nextDeadline()) {
      askPreVote();
    }
  }

  /** Returns when there is something to do without an event. */
  long nextDeadline() {
    return state.role == Role.PRE_CANDIDATE
        ? Math.min(state.electionDeadline, nextQuestionNanos)
        : state.electionDeadline;
  }

  /** A replica whose disk is full leads only if nobody else does for a while. */
  private boolean leavesItToOthers() {
    long silentNanos = state.now - state.leaderContactNanos;
    long patienceNanos = FULL_DISK_ELECTION_TIMEOUTS * state.timing.electionMaxNanos();
    if (!state.diskFull || silentNanos >= patienceNanos) {
      return false;
    }
    state.resetElectionDeadline();
    return true;
  }

  private void beginPreVote() {
    state.role = Role.PRE_CANDIDATE;
    state.leader = null;
    state.resetElectionDeadline();
    granted.clear();
    granted.add(state.self);
    askPreVote();
    countPreVotes();
  }

  private void askPreVote() {
    nextQuestionNanos = state.now + state.oneToTwoHeartbeats();
    askOthers(new Message.PreVote(state.term + 1, state.log.lastIndex(), state.log.lastTerm()));
  }

  private void beginVote() {
    state.role = Role.CANDIDATE;
    state.beginOwnTerm();
    ownVoteSequence = state.voteSequence;
    state.resetElectionDeadline();
    granted.clear();
    askOthers(new Message.Vote(state.log.lastIndex(), state.log.lastTerm()));
  }

  private void askOthers(Message question) {
    for (ReplicaId voter : state.log.voters().replicas()) {
      if (!voter.equals(state.self)) {
        state.send(voter, question);
      }
    }
  }

  void onPreVote(ReplicaId from, Message.PreVote question) {
    boolean grant =
        !state.isBlank()
            && question.nextTerm() > state.term
            && state.role != Role.LEADER
            && !state.leaderIsRecent()
            && state.isUpToDate(question.lastIndex(), question.lastTerm());
    if (grant && state.role == Role.PRE_CANDIDATE && yieldsTo(from, question)) {
      yieldedNanos = state.now;
      state.role = Role.FOLLOWER;
      state.resetElectionDeadline();
    }
    state.send(from, new Message.PreVoteReply(question.nextTerm(), grant));
  }

  /**
   * Voters that start together all ask, and would all stand and vote for themselves. One that could
   * win gives way to one that is ahead of it or comes first by name; once only after each leader,
   * since the other may not hear the answers.
   */
  private boolean yieldsTo(ReplicaId from, Message.PreVote question) {
    boolean sameLog =
        question.lastTerm() == state.log.lastTerm()
            && question.lastIndex() == state.log.lastIndex();
    boolean comesFirst = from.vmName().compareTo(state.self.vmName()) < 0;
    return yieldedNanos <= state.leaderContactNanos && (!sameLog || comesFirst);
  }

  void onPreVoteReply(ReplicaId from, Message.PreVoteReply reply) {
    boolean expected = state.role == Role.PRE_CANDIDATE && reply.nextTerm() == state.term + 1;
    if (expected && reply.granted()) {
      granted.add(from);
      countPreVotes();
    }
  }

  private void countPreVotes() {
    if (state.log.voters().hasQuorum(granted::contains)) {
      beginVote();
    }
  }

  void onVote(ReplicaId from, Message.Vote question) {
    boolean free = state.votedFor == null || state.votedFor.equals(from);
    boolean grant =
        !state.isBlank()
            && free
            && state.leader == null
            && state.isUpToDate(question.lastIndex(), question.lastTerm());
    if (grant && state.votedFor == null) {
      state.voteFor(from);
    }
    if (grant) {
      state.resetElectionDeadline();
    }
    state.send(from, new Message.VoteReply(grant));
  }

  /** Returns whether the election is won by this vote. */
  boolean onVoteReply(ReplicaId from, Message.VoteReply reply) {
    if (state.role != Role.CANDIDATE || !reply.granted()) {
      return false;
    }
    granted.add(from);
    return isWon();
  }

  /** Returns whether the election is won by the replica's own vote, now that it is synced. */
  boolean onVoteSynced() {
    if (state.role != Role.CANDIDATE || state.voteSynced < ownVoteSequence) {
      return false;
    }
    granted.add(state.self);
    return isWon();
  }

  private boolean isWon() {
    return state.log.voters().hasQuorum(granted::contains);
  }
}
