package org.cuminrack.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The calls in progress, for the planned stop of the gateway. Thread-safe. */
final class RunningCalls {
  private final StopAdmission stopAdmission;
  private final Map<GatewayCall, StoppableCall> calls = new ConcurrentHashMap<>();

  RunningCalls(StopAdmission stopAdmission) {
    this.stopAdmission = stopAdmission;
  }

  /** Adds a call until it is removed; treats it like the others if the stop has begun. */
  void add(GatewayCall call, StoppableCall stoppable) {
    calls.put(call, stoppable);
    if (stopAdmission.isStopping()) {
      endIfNotSent(call, stoppable);
    }
    if (stopAdmission.hasEnded()) {
      end(call, stoppable);
    }
  }

  void remove(GatewayCall call) {
    calls.remove(call);
  }

  /** Ends the calls whose requests are not sent yet and may outlast the stop. */
  void beginStop() {
    calls.forEach(RunningCalls::endIfNotSent);
  }

  /** Ends all calls. */
  void endStop() {
    calls.forEach(RunningCalls::end);
  }

  private static void endIfNotSent(GatewayCall call, StoppableCall stoppable) {
    runUnlessEnded(
        call,
        () -> {
          if (!stoppable.mayHaveRun() && !call.endsBeforeStop()) {
            stoppable.end(CallEnd.STOP);
          }
        });
  }

  private static void end(GatewayCall call, StoppableCall stoppable) {
    runUnlessEnded(call, () -> stoppable.end(CallEnd.STOP));
  }

  private static void runUnlessEnded(GatewayCall call, Runnable task) {
    call.io()
        .execute(
            () -> {
              if (!call.hasEnded()) {
                task.run();
              }
            });
  }
}
