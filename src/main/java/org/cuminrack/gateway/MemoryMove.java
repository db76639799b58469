package org.cuminrack.gateway;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.cuminrack.relay.IoContext;
import org.cuminrack.relay.NotSentReason;
import org.cuminrack.relay.UpstreamExchange;
import org.cuminrack.relay.UpstreamListener;

/**
 * Moves a running generation's memory, its part of the key-value cache, to another engine. Pre-copy
 * copies most of it while the generation runs, then stops the generation and copies the rest, so
 * that the pause is short. Stop-and-copy stops the generation at once, because an engine whose
 * connection was lost may still be running it. Confined to one I/O thread.
 */
final class MemoryMove {
  private final EngineCalls calls;
  private final IoContext io;
  private final String fromAddress;
  private final String attemptId;
  private final Reservation target;
  private final Listener listener;
  private UpstreamExchange exchange;
  private boolean stopping;
  private boolean finished;

  private MemoryMove(
      EngineCalls calls,
      IoContext io,
      String fromAddress,
      String attemptId,
      Reservation target,
      Listener listener) {
    this.calls = calls;
    this.io = io;
    this.fromAddress = fromAddress;
    this.attemptId = attemptId;
    this.target = target;
    this.listener = listener;
  }

  /**
   * Receives the result: exactly one of {@code moved} and {@code failed} is called, unless the move
   * is cancelled.
   */
  interface Listener {
    /** The source engine is being told to stop the generation. */
    default void stopping() {}

    /** The generation has stopped and can resume from the copy. */
    void moved(Reservation target, ResumePoint resumePoint);

    /**
     * The move failed; the target's reservation passes to the listener, which uses or releases it.
     *
     * @param mayHaveStopped whether the source engine may have stopped the generation for the move
     */
    void failed(Reservation target, String detail, boolean mayHaveStopped);
  }

  /** Begins a move with pre-copy. */
  static MemoryMove beginPreCopy(
      EngineCalls calls,
      IoContext io,
      String fromAddress,
      String attemptId,
      Reservation target,
      Listener listener) {
    MemoryMove move = new MemoryMove(calls, io, fromAddress, attemptId, target, listener);
    move.sendCopyCall(false);
    return move;
  }

  /** Begins a move that stops the generation first. */
  static MemoryMove beginStopAndCopy(
      EngineCalls calls,
      IoContext io,
      String fromAddress,
      String attemptId,
      Reservation target,
      Listener listener) {
    MemoryMove move = new MemoryMove(calls, io, fromAddress, attemptId, target, listener);
    move.sendCopyCall(true);
    return move;
  }

  /** Returns whether the source engine has been told to stop the generation. */
  boolean isStopping() {
    return stopping;
  }

  /** Cancels the move and releases the target's reservation; the listener is not called again. */
  void cancel() {
    if (!finished) {
      finished = true;
      exchange.close();
      target.release();
    }
  }

  private void sendCopyCall(boolean stop) {
    stopping = stop;
    if (stop) {
      listener.stopping();
    }
    exchange =
        io.open(
            calls.copyKvCache(fromAddress, attemptId, target.upstream().address(), stop),
            new CopyCall());
  }

  private void fail(String detail, boolean mayHaveStopped) {
    if (!finished) {
      finished = true;
      exchange.close();
      listener.failed(target, detail, mayHaveStopped);
    }
  }

  private void onCopied(String copyHandle) {
    if (!stopping) {
      sendCopyCall(true);
      return;
    }
    finished = true;
    listener.moved(target, new ResumePoint(fromAddress, copyHandle, ""));
  }

  /** One call to copy the KV cache. */
  private final class CopyCall implements UpstreamListener {
    private final BoundedBody body = new BoundedBody(io.bounds().maxResponseBytes());
    private int status;

    @Override
    public void notSent(NotSentReason reason) {
      fail("the engine can't be reached", false);
    }

    @Override
    public void responseStarted(int responseStatus, HeaderMap headers) {
      status = responseStatus;
    }

    @Override
    public void bodyReceived(ByteBuffer bytes) {
      if (!body.append(bytes)) {
        fail("the answer is larger than allowed", stopping);
      }
    }

    @Override
    public void completed() {
      if (finished) {
        return;
      }
      Optional<String> copyHandle = calls.copyHandle(status, body.toByteString());
      if (copyHandle.isPresent()) {
        onCopied(copyHandle.get());
      } else {
        fail("the engine answered " + status, stopping && !calls.stoppedNothing(status));
      }
    }

    @Override
    public void failed(String detail) {
      fail(detail, stopping);
    }
  }
}
