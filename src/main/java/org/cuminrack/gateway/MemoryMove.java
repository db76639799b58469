package org.cuminrack.gateway;

import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.cuminrack.relay.IoContext;
import org.cuminrack.relay.NotSent;
import org.cuminrack.relay.UpstreamExchange;
import org.cuminrack.relay.UpstreamListener;

/**
 * Moves a running generation's memory to another engine. In two steps, most of it is copied while
 * the generation goes on, then it is stopped and the rest is copied, so that the pause is short. In
 * one step, it is stopped at once: an engine whose connection was lost may work on. Lives on one
 * I/O thread.
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
  private boolean over;

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

  /** Hears how it ended, once. */
  interface Listener {
    /** The generation has stopped and can go on from the copy of this name. */
    void moved(Reservation target, ResumePoint from);

    /** Nothing was moved; the target's place is the listener's to use or release. */
    void failed(Reservation target, String detail);
  }

  /** Begins to move in two steps. */
  static MemoryMove inTwoSteps(
      EngineCalls calls,
      IoContext io,
      String fromAddress,
      String attemptId,
      Reservation target,
      Listener listener) {
    MemoryMove move = new MemoryMove(calls, io, fromAddress, attemptId, target, listener);
    move.call(false);
    return move;
  }

  /** Begins to stop the generation and to move what it had. */
  static MemoryMove stoppingAtOnce(
      EngineCalls calls,
      IoContext io,
      String fromAddress,
      String attemptId,
      Reservation target,
      Listener listener) {
    MemoryMove move = new MemoryMove(calls, io, fromAddress, attemptId, target, listener);
    move.call(true);
    return move;
  }

  /** Tells whether the generation has been told to stop where it ran. */
  boolean isStopping() {
    return stopping;
  }

  /** Gives up; nothing is called any more. */
  void cancel() {
    if (!over) {
      over = true;
      exchange.close();
      target.release();
    }
  }

  private void call(boolean stop) {
    stopping = stop;
    exchange =
        io.open(
            calls.copyMemory(fromAddress, attemptId, target.upstream().address(), stop),
            new Call());
  }

  private void fail(String detail) {
    if (!over) {
      over = true;
      exchange.close();
      listener.failed(target, detail);
    }
  }

  private void copied(String copyName) {
    if (!stopping) {
      call(true);
      return;
    }
    over = true;
    listener.moved(target, new ResumePoint(fromAddress, copyName, ""));
  }

  /** One of the two calls. */
  private final class Call implements UpstreamListener {
    private final ByteString.Output body = ByteString.newOutput();
    private int status;

    @Override
    public void notSent(NotSent reason) {
      fail("the engine can't be reached");
    }

    @Override
    public void answered(int answerStatus, HeaderMap headers) {
      status = answerStatus;
    }

    @Override
    public void received(ByteBuffer bytes) {
      byte[] part = new byte[bytes.remaining()];
      bytes.get(part);
      body.write(part, 0, part.length);
    }

    @Override
    public void completed() {
      if (over) {
        return;
      }
      Optional<String> copy = calls.copyMade(status, body.toByteString());
      if (copy.isPresent()) {
        copied(copy.get());
      } else {
        fail("the engine answered " + status);
      }
    }

    @Override
    public void broken(String detail) {
      fail(detail);
    }
  }
}
