package org.cuminrack.relay;

import java.time.Duration;
import org.xnio.XnioExecutor;

/** The deadline and silence timers of a plain call. Confined to the exchange's I/O thread. */
final class CallTimers {
  private static final XnioExecutor.Key NONE = () -> false;

  private final IoContext io;
  private XnioExecutor.Key deadline = NONE;
  private XnioExecutor.Key silence = NONE;

  CallTimers(IoContext io) {
    this.io = io;
  }

  /** Starts the timer of the caller's deadline, unless it is running. */
  void startDeadline(Duration remaining, Runnable onTimeout) {
    if (deadline == NONE) {
      deadline = io.after(remaining.toMillis(), onTimeout);
    }
  }

  /** Starts the timer for the response of an upstream to an idempotent call. */
  void startSilenceTimeout(Runnable onTimeout) {
    silence = io.after(io.bounds().silenceTimeout().toMillis(), onTimeout);
  }

  void stopSilenceTimeout() {
    silence.remove();
  }

  void stop() {
    deadline.remove();
    silence.remove();
  }
}
