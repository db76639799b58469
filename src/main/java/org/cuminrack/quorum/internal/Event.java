package org.cuminrack.quorum.internal;

/** What the core is told. */
public sealed interface Event {

  /** A message came in. */
  record Received(Packet packet) implements Event {}

  /** A client's command; the number comes back with its outcome. */
  @SuppressWarnings("ArrayRecordComponent")
  record Propose(long requestId, byte[] command) implements Event {}

  /** A client asks whether this replica still leads. */
  record ConfirmLeadership(long requestId) implements Event {}

  /** All terms and votes up to a sequence number are synced. */
  record VoteSynced(long sequence) implements Event {}

  /** The log is synced up to an index; the epoch is that of the write. */
  record LogSynced(long epoch, long index) implements Event {}

  /** The state machine gave its snapshot at an applied index. */
  @SuppressWarnings("ArrayRecordComponent")
  record SnapshotTaken(long index, byte[] data) implements Event {}

  /** The disk became full, or has room again. */
  record DiskFull(boolean full) implements Event {}
}
