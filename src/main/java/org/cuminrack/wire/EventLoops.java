package org.cuminrack.wire;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;
import org.cuminrack.lifecycle.FailureHandler;
import org.cuminrack.lifecycle.ManagedService;

/**
 * Netty's threads of a client or server. Netty logs an error that ends one of them and goes on
 * without it, so that part of the connections would be dead; here it is a failure of the process.
 */
final class EventLoops implements ManagedService {
  private static final int THREADS = 2;

  private final String name;
  private final FailureHandler failureHandler;
  private volatile MultiThreadIoEventLoopGroup loops;

  EventLoops(String name) {
    this(name, FailureHandler.endingProcess());
  }

  EventLoops(String name, FailureHandler failureHandler) {
    this.name = name;
    this.failureHandler = failureHandler;
  }

  @Override
  public void start() {
    MultiThreadIoEventLoopGroup started =
        new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    loops = started;
    for (EventExecutor loop : started) {
      loop.terminationFuture().addListener(ended -> loopEnded(started));
    }
  }

  private void loopEnded(MultiThreadIoEventLoopGroup ended) {
    if (loops == ended) {
      failureHandler.failed(name, new IllegalStateException("an event loop has ended"));
    }
  }

  /** Returns the running group; null before the start and after the stop. */
  EventLoopGroup group() {
    return loops;
  }

  @Override
  public void stop() {
    MultiThreadIoEventLoopGroup stopping = loops;
    if (stopping == null) {
      return;
    }
    loops = null;
    stopping.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
