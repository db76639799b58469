package org.cuminrack.quorum;

/** The reason why a proposal or a leadership confirmation failed. */
public sealed interface ProposalFailure {

  /**
   * This replica is not the leader: the command was not and will not be committed.
   *
   * @param leader the leader's VM name; empty if unknown
   */
  record NotLeader(String leader) implements ProposalFailure {}

  /**
   * Leadership was lost, the request timed out or the replica stopped: the command may still be
   * committed.
   */
  record OutcomeUnknown(String detail) implements ProposalFailure {}

  /**
   * The group forms and does not have the voters yet that it needs to tolerate losses: the command
   * was not and will not be committed.
   */
  record TooFewVoters(String detail) implements ProposalFailure {}

  /** The leader's disk is full: the command was not and will not be committed. */
  record ReadOnly(String detail) implements ProposalFailure {}
}
