package org.cuminrack.relay;

import java.time.Duration;
import org.xnio.XnioExecutor;

/** The deadline and silence timers of a plain call. Confined to the exchange's I/O thread. */
final class CallTimers {
  private static final XnioExecutor.Key NO_TIMER = () -> false;

  private final IoContext io;
  private XnioExecutor.Key deadlineTimer = NO_TIMER;
  private XnioExecutor.Key silenceTimer = NO_TIMER;

  CallTimers(IoContext io) {
    this.io = io;
  }

  /** Starts the timer of the caller's deadline, unless it is running. */
  void startDeadline(Duration remaining, Runnable onTimeout) {
    if (deadlineTimer == NO_TIMER) {
      deadlineTimer = io.timeout(remaining.toMillis(), onTimeout);
    }
  }

  /** Starts the timer after which an upstream without a complete response is considered silent. */
  void startSilenceTimeout(Runnable onTimeout) {
    silenceTimer = io.timeout(io.bounds().silenceTimeout().toMillis(), onTimeout);
  }

  void stopSilenceTimeout() {
    silenceTimer.remove();
  }

  void stop() {
    deadlineTimer.remove();
    silenceTimer.remove();
  }
}
