package org.cuminrack.relay;

import java.time.Duration;
import org.xnio.XnioExecutor;

/** The two clocks that a plain call runs against. Lives on the exchange's I/O thread. */
final class CallTimers {
  private static final XnioExecutor.Key NONE = () -> false;

  private final IoContext io;
  private XnioExecutor.Key deadline = NONE;
  private XnioExecutor.Key silence = NONE;

  CallTimers(IoContext io) {
    this.io = io;
  }

  /** Begins the caller's time, unless it has begun. */
  void deadline(Duration remaining, Runnable passed) {
    if (deadline == NONE) {
      deadline = io.after(remaining.toMillis(), passed);
    }
  }

  /** Begins an upstream's time to answer a call that may be repeated. */
  void silence(Runnable passed) {
    silence = io.after(io.bounds().silence().toMillis(), passed);
  }

  void stopSilence() {
    silence.remove();
  }

  void stop() {
    deadline.remove();
    silence.remove();
  }
}
