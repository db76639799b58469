package org.cuminrack.quorum;

import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.cuminrack.log.LogEvent;
import org.cuminrack.quorum.internal.Effect;
import org.cuminrack.quorum.internal.Event;
import org.cuminrack.quorum.internal.LogEntry;

/**
 * Executes the core's effects: sends packets, drives the state machine, completes requests, and
 * passes writes to the disk worker. Used only by the node's protocol thread.
 */
final class EffectRunner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final StateMachine stateMachine;
  private final PacketSender sender;
  private final DiskWorker diskWorker;
  private final RequestTable requests;
  private long syncedVoteSequence;
  private long snapshotIndex;
  private long appliedTerm;

  EffectRunner(
      StateMachine stateMachine,
      PacketSender sender,
      DiskWorker diskWorker,
      RequestTable requests) {
    this.stateMachine = stateMachine;
    this.sender = sender;
    this.diskWorker = diskWorker;
    this.requests = requests;
  }

  /** Records which votes are synced: packets that depend only on these are sent immediately. */
  void recordSyncedVotes(List<Event> events) {
    for (Event event : events) {
      if (event instanceof Event.VoteSynced synced) {
        syncedVoteSequence = Math.max(syncedVoteSequence, synced.sequence());
      }
    }
  }

  void execute(Effect effect) {
    if (effect instanceof Effect.Send send) {
      send(send);
    } else if (effect instanceof Effect.Apply apply) {
      apply(apply);
    } else if (effect instanceof Effect.Restore restore) {
      stateMachine.restore(restore.image().index(), restore.image().data());
      snapshotIndex = restore.image().index();
      appliedTerm = restore.image().term();
    } else if (effect instanceof Effect.Fail fail) {
      requests.fail(fail.requestId(), fail.failure());
    } else if (effect instanceof Effect.Confirm confirm) {
      requests.completeRead(confirm.requestId(), confirm.index());
    } else {
      diskWorker.add(effect);
    }
  }

  /**
   * Takes a snapshot if enough entries were applied since the last one; returns the event that
   * reports it to the core, or empty.
   */
  Optional<Event> takeSnapshotIfDue(long appliedIndex, int snapshotIntervalEntries) {
    if (appliedIndex - snapshotIndex < snapshotIntervalEntries) {
      return Optional.empty();
    }
    snapshotIndex = appliedIndex;
    return Optional.of(new Event.SnapshotTaken(appliedIndex, stateMachine.snapshot()));
  }

  /** Returns the term of the last applied entry or restored snapshot; 0 if there is none. */
  long appliedTerm() {
    return appliedTerm;
  }

  private void send(Effect.Send send) {
    if (send.afterVoteSequence() <= syncedVoteSequence) {
      sender.send(send.packet());
    } else {
      diskWorker.add(send);
    }
  }

  private void apply(Effect.Apply apply) {
    LogEntry entry = apply.entry();
    appliedTerm = entry.term();
    switch (entry.kind()) {
      case COMMAND ->
          requests.completeProposal(
              apply.requestId(), entry.index(), stateMachine.apply(entry.index(), entry.data()));
      case VOTERS ->
          logger.atInfo().log(
              "%s", LogEvent.named("voters-changed").with("voters", votersOf(entry)));
      case NO_OPERATION -> {}
    }
  }

  private static String votersOf(LogEntry entry) {
    return new String(entry.data(), StandardCharsets.UTF_8);
  }
}
