package org.cuminrack.quorum.internal;

/**
 * A message with its envelope.
 *
 * @param toIncarnation the receiver's incarnation; {@link #ANY_INCARNATION} matches every
 *     incarnation
 * @param groupId the sender's group; 0 while the sender is blank
 * @param term the sender's term
 */
public record Packet(
    ReplicaId from, String toVm, long toIncarnation, long groupId, long term, Message message) {

  /** Matches every incarnation of the receiving VM. */
  public static final long ANY_INCARNATION = 0;
}
