package org.cuminrack.quorum;

/** Why a proposal brought no answer. */
public sealed interface ProposalFailure {

  /**
   * This replica does not lead: the command was not and will not be committed.
   *
   * @param leader the leader's VM name; empty where it is not known
   */
  record NotLeader(String leader) implements ProposalFailure {}

  /** Leadership was lost, or time ran out, on the way: the command may be committed yet. */
  record OutcomeUnknown(String detail) implements ProposalFailure {}

  /** The disk takes no more: the command was not and will not be committed. */
  record ReadOnly(String detail) implements ProposalFailure {}
}
