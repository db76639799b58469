package org.cuminrack.relay;

import org.xnio.XnioExecutor;

/**
 * A timeout on an I/O thread that handles what is ready on the thread's connections before it
 * expires. The thread runs due timers before it looks at its connections, so after a stall of this
 * process a plain timer would take an answer that is waiting to be read for none.
 */
final class Timeout implements XnioExecutor.Key {
  /** Long enough for the thread to handle its ready connections once. */
  private static final long READY_CONNECTIONS_MILLIS = 10;

  private XnioExecutor.Key current;

  private Timeout() {}

  /** Starts a timeout; must be called and removed on the I/O thread. */
  static Timeout start(IoContext io, long delayMillis, Runnable onTimeout) {
    Timeout timeout = new Timeout();
    timeout.current =
        io.after(
            delayMillis, () -> timeout.current = io.after(READY_CONNECTIONS_MILLIS, onTimeout));
    return timeout;
  }

  @Override
  public boolean remove() {
    return current.remove();
  }
}
