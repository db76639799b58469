package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.cuminrack.log.LogEvent;
import org.cuminrack.routing.EngineSpec;

/**
 * Moves one generation between engines: off an engine that is leaving, and from a lost engine to
 * its backup. Confined to one I/O thread.
 */
final class GenerationMoves {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Maximum attempts to move a generation; after these it stays on its engine until the engine
   * stops.
   */
  private static final int MAX_MOVE_ATTEMPTS = 3;

  private final GatewayContext context;
  private final GatewayCall call;
  private final EngineSpec engine;
  private final MemoryNeed need;
  private final Owner owner;
  private Optional<MemoryMove> move = Optional.empty();
  private int moveAttempts;

  GenerationMoves(
      GatewayContext context, GatewayCall call, EngineSpec engine, MemoryNeed need, Owner owner) {
    this.context = context;
    this.call = call;
    this.engine = engine;
    this.need = need;
    this.owner = owner;
  }

  /** The relay of the generation that is moved. */
  interface Owner {
    /** Resumes the generation on the reserved engine. */
    void resumeAt(Reservation reservation, ResumePoint resumePoint, String cause);

    /** The generation was not moved, and the connection to its engine was lost meanwhile. */
    void connectionLostDuringMove(String detail);
  }

  /**
   * Returns whether a move has told the engine to stop the generation; the result of the move then
   * decides where it resumes.
   */
  boolean isStopping() {
    return move.filter(MemoryMove::isStopping).isPresent();
  }

  /** Cancels the move in progress. */
  void cancel() {
    move.ifPresent(MemoryMove::cancel);
    move = Optional.empty();
  }

  /** Moves the generation off an engine that is leaving, unless a usable backup exists. */
  void moveIfLeaving(EngineDispatch current) {
    boolean shouldMove =
        move.isEmpty()
            && moveAttempts < MAX_MOVE_ATTEMPTS
            && engine.movesMemory()
            && context.selector().isLeaving(current.reservation().upstream())
            && !hasLastingBackup(current);
    if (!shouldMove) {
      return;
    }
    context
        .selector()
        .reserveMove(call.service().name(), engine, need, current.reservation().upstream())
        .ifPresent(target -> beginMove(current, target));
  }

  /** Returns whether a usable backup exists on an engine that isn't leaving itself. */
  private boolean hasLastingBackup(EngineDispatch current) {
    return current.hasUsableBackup()
        && current
            .backup()
            .filter(backup -> !context.selector().isLeaving(backup.upstream()))
            .isPresent();
  }

  private void beginMove(EngineDispatch current, Reservation target) {
    moveAttempts++;
    // A move with pre-copy asks the engine twice.
    context.rateLimits().recordSent(current.reservation().upstream());
    context.rateLimits().recordSent(current.reservation().upstream());
    move =
        Optional.of(
            MemoryMove.beginPreCopy(
                context.engineCalls(),
                call.io(),
                current.reservation().upstream().address(),
                call.head().attemptId(),
                target,
                new LeavingEngineMove(current)));
  }

  /**
   * Resumes the generation of a lost engine, which must have a backup. If engines can move memory,
   * the generation is stopped first on the lost engine, which may still be running it, and its
   * memory is copied from there. Otherwise, or if that fails, the generation resumes from its
   * backup.
   */
  void resume(EngineDispatch lost, String cause) {
    Reservation backup = lost.backup().get();
    String copyHandle = call.head().attemptId();
    ResumePoint backupPoint = new ResumePoint(backup.upstream().address(), copyHandle, "");
    if (!engine.movesMemory()) {
      owner.resumeAt(backup, backupPoint, cause);
      return;
    }
    context.rateLimits().recordSent(lost.reservation().upstream());
    move =
        Optional.of(
            MemoryMove.beginStopAndCopy(
                context.engineCalls(),
                call.io(),
                lost.reservation().upstream().address(),
                call.head().attemptId(),
                backup,
                new LostEngineMove(backupPoint, cause)));
  }

  private void resumeAt(Reservation reservation, ResumePoint resumePoint, String cause) {
    if (call.hasEnded()) {
      reservation.release();
    } else {
      owner.resumeAt(reservation, resumePoint, cause);
    }
  }

  /** Resumes on the target engine, or leaves the generation where it is if the move fails. */
  private final class LeavingEngineMove implements MemoryMove.Listener {
    private final EngineDispatch current;

    LeavingEngineMove(EngineDispatch current) {
      this.current = current;
    }

    @Override
    public void moved(Reservation target, ResumePoint resumePoint) {
      move = Optional.empty();
      current.close();
      resumeAt(target, resumePoint, "the engine is leaving");
    }

    @Override
    public void stopping() {
      current.stopRequested();
    }

    @Override
    public void failed(Reservation target, String detail, boolean mayHaveStopped) {
      move = Optional.empty();
      target.release();
      logFailure(detail, mayHaveStopped);
      if (current.isClosed()) {
        owner.connectionLostDuringMove(detail);
      } else if (mayHaveStopped) {
        current.stopUnconfirmed();
      } else {
        current.stopRejected();
      }
    }

    private void logFailure(String detail, boolean mayHaveStopped) {
      logger.atInfo().log(
          "%s",
          LogEvent.named("stream-not-moved")
              .with("request", call.head().attemptId())
              .with("upstream", current.reservation().upstream().id())
              .with("may_have_stopped", mayHaveStopped)
              .with("detail", detail));
    }
  }

  /** Resumes from the memory that the stopped engine copied, or from the backup if that failed. */
  private final class LostEngineMove implements MemoryMove.Listener {
    private final ResumePoint backupPoint;
    private final String cause;

    LostEngineMove(ResumePoint backupPoint, String cause) {
      this.backupPoint = backupPoint;
      this.cause = cause;
    }

    @Override
    public void moved(Reservation target, ResumePoint resumePoint) {
      move = Optional.empty();
      resumeAt(target, resumePoint, cause);
    }

    @Override
    public void failed(Reservation target, String detail, boolean mayHaveStopped) {
      move = Optional.empty();
      resumeAt(target, backupPoint, cause);
    }
  }
}
