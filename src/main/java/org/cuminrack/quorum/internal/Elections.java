package org.cuminrack.quorum.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Runs pre-votes and elections. A blank replica, one without a log, neither requests nor grants
 * votes.
 */
final class Elections {
  private static final int ELECTION_TIMEOUTS_TO_DEFER_IF_DISK_FULL = 4;

  private final CoreState state;
  private final Set<ReplicaId> grantingVoters = new HashSet<>();
  private final Map<String, Long> lastReplyNanosByVoter = new HashMap<>();
  private long ownVoteSequence;
  private long nextPreVoteNanos;
  private long yieldedNanos = Long.MIN_VALUE;

  Elections(CoreState state) {
    this.state = state;
  }

  /**
   * Starts a pre-vote if the election deadline has passed; repeats the requests of the current
   * pre-vote if they are due.
   */
  void onTick() {
    if (state.role == Role.LEADER || !state.isVoter()) {
      return;
    }
    if (state.nowNanos >= state.electionDeadlineNanos && !deferElectionIfDiskFull()) {
      startPreVote();
    } else if (state.nowNanos >= nextDeadlineNanos()) {
      requestPreVotes();
    }
  }

  /** Returns the next time at which {@link #onTick()} has work to do. */
  long nextDeadlineNanos() {
    return state.role == Role.PRE_CANDIDATE
        ? Math.min(state.electionDeadlineNanos, nextPreVoteNanos)
        : state.electionDeadlineNanos;
  }

  /**
   * Resets the election deadline and returns true if the disk is full, so that other voters are
   * elected first. Returns false once several election timeouts have passed without contact from a
   * leader.
   */
  private boolean deferElectionIfDiskFull() {
    long sinceLeaderContactNanos = state.nowNanos - state.lastLeaderContactNanos;
    long deferralNanos =
        ELECTION_TIMEOUTS_TO_DEFER_IF_DISK_FULL * state.timing.electionTimeoutMaxNanos();
    if (!state.diskFull || sinceLeaderContactNanos >= deferralNanos) {
      return false;
    }
    state.resetElectionDeadline();
    return true;
  }

  private void startPreVote() {
    state.role = Role.PRE_CANDIDATE;
    state.leader = null;
    state.resetElectionDeadline();
    grantingVoters.clear();
    grantingVoters.add(state.self);
    requestPreVotes();
    countPreVotes();
  }

  private void requestPreVotes() {
    nextPreVoteNanos = state.nowNanos + state.preVoteRetryNanos();
    sendToOtherVoters(
        new Message.PreVoteRequest(state.term + 1, state.log.lastIndex(), state.log.lastTerm()));
  }

  private void startElection() {
    state.role = Role.CANDIDATE;
    state.startElectionTerm();
    ownVoteSequence = state.voteSequence;
    state.resetElectionDeadline();
    grantingVoters.clear();
    sendToOtherVoters(new Message.VoteRequest(state.log.lastIndex(), state.log.lastTerm()));
  }

  private void sendToOtherVoters(Message request) {
    for (ReplicaId voter : state.log.voters().replicas()) {
      if (!voter.equals(state.self)) {
        state.send(voter, request);
      }
    }
  }

  void onPreVoteRequest(ReplicaId from, Message.PreVoteRequest request) {
    boolean grant =
        !state.isBlank()
            && request.nextTerm() > state.term
            && state.role != Role.LEADER
            && !state.hasRecentLeaderContact()
            && state.isUpToDate(request.lastIndex(), request.lastTerm());
    if (grant && state.role == Role.PRE_CANDIDATE && yieldsTo(from, request)) {
      yieldedNanos = state.nowNanos;
      state.role = Role.FOLLOWER;
      state.resetElectionDeadline();
    }
    state.send(from, new Message.PreVoteReply(request.nextTerm(), grant));
  }

  /**
   * Returns whether this pre-candidate yields to another one. Voters that start at the same time
   * would otherwise all become candidates, vote for themselves and split the vote. A pre-candidate
   * yields to one whose log is ahead or whose name sorts first. It yields once per loss of contact
   * with a leader, because the other one may not receive the replies.
   */
  private boolean yieldsTo(ReplicaId from, Message.PreVoteRequest request) {
    boolean sameLog =
        request.lastTerm() == state.log.lastTerm() && request.lastIndex() == state.log.lastIndex();
    boolean sortsFirst = from.vmName().compareTo(state.self.vmName()) < 0;
    return yieldedNanos <= state.lastLeaderContactNanos && (!sameLog || sortsFirst);
  }

  /** Returns the VMs of the voters that recently replied to a request for a vote. */
  Set<String> answeringVoters() {
    long sinceNanos = state.nowNanos - 2 * state.timing.electionTimeoutMaxNanos();
    return lastReplyNanosByVoter.entrySet().stream()
        .filter(reply -> reply.getValue() >= sinceNanos)
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  void onPreVoteReply(ReplicaId from, Message.PreVoteReply reply) {
    lastReplyNanosByVoter.put(from.vmName(), state.nowNanos);
    boolean isForCurrentRequest =
        state.role == Role.PRE_CANDIDATE && reply.nextTerm() == state.term + 1;
    if (isForCurrentRequest && reply.granted()) {
      grantingVoters.add(from);
      countPreVotes();
    }
  }

  private void countPreVotes() {
    if (state.log.voters().hasQuorum(grantingVoters::contains)) {
      startElection();
    }
  }

  void onVoteRequest(ReplicaId from, Message.VoteRequest request) {
    boolean voteAvailable = state.votedFor == null || state.votedFor.equals(from);
    boolean grant =
        !state.isBlank()
            && voteAvailable
            && state.leader == null
            && state.isUpToDate(request.lastIndex(), request.lastTerm());
    if (grant && state.votedFor == null) {
      state.voteFor(from);
    }
    if (grant) {
      state.resetElectionDeadline();
    }
    state.send(from, new Message.VoteReply(grant));
  }

  /** Counts a vote and returns whether the election is won. */
  boolean onVoteReply(ReplicaId from, Message.VoteReply reply) {
    if (state.role != Role.CANDIDATE || !reply.granted()) {
      return false;
    }
    grantingVoters.add(from);
    return isWon();
  }

  /** Counts the replica's own vote once it is synced and returns whether the election is won. */
  boolean onVoteSynced() {
    if (state.role != Role.CANDIDATE || state.syncedVoteSequence < ownVoteSequence) {
      return false;
    }
    grantingVoters.add(state.self);
    return isWon();
  }

  private boolean isWon() {
    return state.log.voters().hasQuorum(grantingVoters::contains);
  }
}
