package org.cuminrack.quorum.internal;

/**
 * A message with its envelope.
 *
 * @param toIncarnation the replica it is meant for; {@link #ANY} for whichever lives there
 * @param groupId the sender's group; 0 while it is blank
 * @param term the sender's term
 */
public record Packet(
    ReplicaId from, String toVm, long toIncarnation, long groupId, long term, Message message) {

  /** Addresses whichever incarnation of the VM is there. */
  public static final long ANY = 0;
}
