package org.cuminrack.gateway;

import java.util.Optional;
import org.cuminrack.routing.EngineSpec;

/**
 * Brings one generation from engine to engine: away from one that leaves, and on from the copy of
 * one that is lost. Lives on one I/O thread.
 */
final class GenerationMoves {
  /** How often a generation is moved away before its engine's end is waited for. */
  private static final int MAX_MOVES = 3;

  private final GatewayContext context;
  private final GatewayCall call;
  private final EngineSpec engine;
  private final MemoryNeed need;
  private final Owner owner;
  private Optional<MemoryMove> move = Optional.empty();
  private int tried;

  GenerationMoves(
      GatewayContext context, GatewayCall call, EngineSpec engine, MemoryNeed need, Owner owner) {
    this.context = context;
    this.call = call;
    this.engine = engine;
    this.need = need;
    this.owner = owner;
  }

  /** Whose generation it is. */
  interface Owner {
    /** The generation goes on at a place. */
    void goOn(Reservation place, ResumePoint from, String cause);

    /** The generation was not moved away; it runs on unless its engine has ended. */
    void notMoved(String detail);
  }

  /** Tells whether a move has told the engine to stop; its end tells how to go on. */
  boolean isStopping() {
    return move.filter(MemoryMove::isStopping).isPresent();
  }

  /** Gives up what is on its way. */
  void cancel() {
    move.ifPresent(MemoryMove::cancel);
    move = Optional.empty();
  }

  /** Moves the generation away from an engine that ends soon, where no copy will outlive it. */
  void moveIfLeaving(EngineSending current) {
    boolean due =
        move.isEmpty()
            && tried < MAX_MOVES
            && engine.movesMemory()
            && context.selector().isLeaving(current.place().upstream())
            && !current.hasUsableCopy();
    if (!due) {
      return;
    }
    context
        .selector()
        .move(call.service().name(), engine, need, current.place().upstream())
        .ifPresent(target -> beginMove(current, target));
  }

  private void beginMove(EngineSending current, Reservation target) {
    tried++;
    move =
        Optional.of(
            MemoryMove.inTwoSteps(
                context.engineCalls(),
                call.io(),
                current.place().upstream().address(),
                call.head().attemptId(),
                target,
                new Away(current)));
  }

  /** Goes on from a lost engine's copy, once it can't be working on the generation any more. */
  void resume(EngineSending lost, String cause) {
    Reservation copy = lost.copy().get();
    String copyName = call.head().attemptId();
    ResumePoint backup = new ResumePoint(copy.upstream().address(), copyName, "");
    if (!engine.movesMemory()) {
      owner.goOn(copy, backup, cause);
      return;
    }
    move =
        Optional.of(
            MemoryMove.stoppingAtOnce(
                context.engineCalls(),
                call.io(),
                lost.place().upstream().address(),
                call.head().attemptId(),
                copy,
                new Stop(backup, cause)));
  }

  private void goOn(Reservation place, ResumePoint from, String cause) {
    if (call.isOver()) {
      place.release();
    } else {
      owner.goOn(place, from, cause);
    }
  }

  /** Goes on at the other engine, or stays. */
  private final class Away implements MemoryMove.Listener {
    private final EngineSending current;

    Away(EngineSending current) {
      this.current = current;
    }

    @Override
    public void moved(Reservation target, ResumePoint from) {
      move = Optional.empty();
      current.close();
      goOn(target, from, "the engine is leaving");
    }

    @Override
    public void failed(Reservation target, String detail) {
      move = Optional.empty();
      target.release();
      owner.notMoved(detail);
    }
  }

  /** Goes on from what the stopped engine moved, or else from its backup. */
  private final class Stop implements MemoryMove.Listener {
    private final ResumePoint backup;
    private final String cause;

    Stop(ResumePoint backup, String cause) {
      this.backup = backup;
      this.cause = cause;
    }

    @Override
    public void moved(Reservation target, ResumePoint from) {
      move = Optional.empty();
      goOn(target, from, cause);
    }

    @Override
    public void failed(Reservation target, String detail) {
      move = Optional.empty();
      goOn(target, backup, cause);
    }
  }
}
