package org.cuminrack.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** The calls in progress, for the planned stop of the gateway. Thread-safe. */
final class RunningCalls {
  private final StopAdmission stopAdmission;
  private final Map<GatewayCall, StoppableCall> calls = new ConcurrentHashMap<>();

  RunningCalls(StopAdmission stopAdmission) {
    this.stopAdmission = stopAdmission;
  }

  /** Adds a call until it is removed; tells it at once what the stop has told the others. */
  void add(GatewayCall call, StoppableCall stoppable) {
    calls.put(call, stoppable);
    if (stopAdmission.isStopping()) {
      run(call, stoppable, StoppableCall::stopBegun);
    }
    if (stopAdmission.hasEnded()) {
      run(call, stoppable, StoppableCall::stopEnded);
    }
  }

  void remove(GatewayCall call) {
    calls.remove(call);
  }

  /** Tells each call that the stop has begun. */
  void beginStop() {
    runAll(StoppableCall::stopBegun);
  }

  /** Tells each call that the stop has ended. */
  void endStop() {
    runAll(StoppableCall::stopEnded);
  }

  private void runAll(Consumer<StoppableCall> notice) {
    calls.forEach((call, stoppable) -> run(call, stoppable, notice));
  }

  private static void run(
      GatewayCall call, StoppableCall stoppable, Consumer<StoppableCall> notice) {
    call.io()
        .execute(
            () -> {
              if (!call.hasEnded()) {
                notice.accept(stoppable);
              }
            });
  }
}
