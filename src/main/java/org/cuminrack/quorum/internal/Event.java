package org.cuminrack.quorum.internal;

/** An input to the core. */
public sealed interface Event {

  /** A packet was received. */
  record Received(Packet packet) implements Event {}

  /** A client proposes a command; its outcome carries the same request ID. */
  @SuppressWarnings("ArrayRecordComponent")
  record Propose(long requestId, byte[] command) implements Event {}

  /**
   * A client requests confirmation that this replica still leads, so that it can read the state
   * consistently. The core calls this request a read.
   */
  record ConfirmLeadership(long requestId) implements Event {}

  /** All terms and votes up to a sequence number are synced. */
  record VoteSynced(long sequence) implements Event {}

  /**
   * The log is synced up to an index. The epoch is that of the write; it is outdated if the log was
   * truncated or replaced since.
   */
  record LogSynced(long epoch, long index) implements Event {}

  /** The state machine's snapshot at an applied index is ready. */
  @SuppressWarnings("ArrayRecordComponent")
  record SnapshotTaken(long index, byte[] data) implements Event {}

  /** The disk refuses writes, as a full one does, or accepts them again. */
  record DiskFull(boolean full) implements Event {}
}
